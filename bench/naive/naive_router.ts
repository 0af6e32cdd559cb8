/**
 * The naive router that serves as the baseline: round robin, first come, first
 * served, retry on any error.
 *
 * @module
 */
import type {
  UpstreamAnswer,
  UpstreamTransport,
} from "../../src/connection/upstream_transport.ts";
import type { VmId } from "../../src/ids.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";
import type { UpstreamPool } from "../../src/version/index.ts";
import type { ExampleRecords } from "../support/example_records.ts";

const MAX_ATTEMPTS = 4;
const FIRST_SERVER_ERROR = 500;

/** Options of a naive router. */
export interface NaiveRouterOptions {
  vm: VmId;
  examples: ExampleRecords;
  upstreams: UpstreamTransport;
}

/** The router of one VM; its only state is a round-robin counter. */
export class NaiveRouter {
  readonly #options: NaiveRouterOptions;
  readonly #turns = new Map<string, number>();
  #issued = 0;

  constructor(options: NaiveRouterOptions) {
    this.#options = options;
  }

  static create(options: NaiveRouterOptions): NaiveRouter {
    return new NaiveRouter(options);
  }

  /** Serves one request; never rejects. */
  async handle(request: CallerRequest, sink: CallerSink): Promise<void> {
    const pool = this.#findPool(request.path);
    this.#issued += 1;
    const id = `naive-${this.#options.vm}-${this.#issued}`;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      try {
        const answer = await this.#send(pool, request, { id, sink });
        await sendAnswer(answer, sink);
        return;
      } catch {
        if (sink.signal.aborted) return;
        // Bytes already sent to the caller cannot be revoked.
        if (sink.headWritten) return sink.destroy();
      }
    }
    sink.writeHead(502, { "content-type": "text/plain" });
    await sink.end();
  }

  async #send(
    pool: UpstreamPool,
    request: CallerRequest,
    options: { id: string; sink: CallerSink },
  ): Promise<UpstreamAnswer> {
    const answer = await this.#options.upstreams.send({
      upstream: this.#chooseUpstream(pool),
      method: request.method,
      path: request.path.replace(/^\/services\/[^/]+/, ""),
      headers: { ...request.headers, "x-request-id": options.id },
      body: request.body,
      freshConnection: false,
      timeouts: pool.timeouts,
      signal: options.sink.signal,
    });
    if (answer.status < FIRST_SERVER_ERROR) return answer;
    throw new Error(`Upstream answered with status ${answer.status}`);
  }

  #findPool(path: string): UpstreamPool {
    const { pools } = this.#options.examples.snapshot;
    const isService = path.startsWith("/services/");
    return [...pools.values()].find((pool) =>
      isService
        ? path.startsWith(`/services/${pool.name}/`)
        : pool.type === "model"
    )!;
  }

  #chooseUpstream(pool: UpstreamPool): VmId {
    const turn = this.#turns.get(pool.name) ?? 0;
    this.#turns.set(pool.name, turn + 1);
    const upstreams = this.#options.examples.list.vms
      .filter((vm) => vm.pool === pool.name);
    return upstreams[turn % upstreams.length]!.id;
  }
}

async function sendAnswer(
  answer: UpstreamAnswer,
  sink: CallerSink,
): Promise<void> {
  for await (const bytes of answer.body) {
    if (!sink.headWritten) sink.writeHead(answer.status, answer.headers);
    await sink.write(bytes);
  }
  if (!sink.headWritten) sink.writeHead(answer.status, answer.headers);
  await sink.end();
}
