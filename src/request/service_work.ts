/**
 * A call of a plain service.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import type { UpstreamPool } from "../version/records.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { RequestRun } from "./request_run.ts";
import { copyServiceHeaders } from "./service_call.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";
import {
  BrokenAnswerError,
  checkWanted,
  type LeaseNeeds,
  type RelayOptions,
  UpstreamWork,
  type WorkCall,
} from "./upstream_work.ts";

const NOT_STARTED_HEADER = "x-not-started";
const SERVICE_UNAVAILABLE = 503;
/** Answers that another replica of the service may better. */
const RETRIED_STATUSES = new Set([502, 503, 504]);

/** What a service's work begins with. */
export interface ServiceWorkStart {
  run: RequestRun;
  request: CallerRequest;
  pool: UpstreamPool;
  /** The path at the service, without the query. */
  path: string;
}

/** Passes one call to a service and its answer back as it comes. */
export class ServiceWork extends UpstreamWork {
  readonly #start: ServiceWorkStart;
  readonly #collector: AnswerCollector;

  constructor(start: ServiceWorkStart) {
    super();
    this.#start = start;
    this.#collector = AnswerCollector.create(start.run);
  }

  static create(start: ServiceWorkStart): ServiceWork {
    return new ServiceWork(start);
  }

  override get pool(): UpstreamPool {
    return this.#start.pool;
  }

  override buildLeaseNeeds(): LeaseNeeds {
    return {
      model: undefined,
      adapter: undefined,
      promptTokens: 0,
      maxTokens: 0,
      doneTokens: 0,
      prefixes: [],
    };
  }

  override buildCall(lease: HeldLease): WorkCall {
    const { request, path, run } = this.#start;
    return {
      method: request.method,
      path: request.query === "" ? path : `${path}?${request.query}`,
      headers: {
        ...copyServiceHeaders(request.headers),
        "x-request-id": run.id,
        "x-priority": String(lease.priority),
      },
      body: request.body,
    };
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const { run } = this.#start;
    const { sink, idempotent } = run.start;
    options.onSignals(readUpstreamSignals(answer));
    checkStatus(answer, idempotent);
    run.noteRan();
    const headers = buildAnswerHeaders(run, answer.headers);
    this.#collector.noteHead(answer.status, headers);
    for await (const bytes of answer.body) {
      checkWanted(options);
      // The head waits for the first byte of the body, so that an answer that
      // breaks before it can still be tried elsewhere.
      if (!sink.headWritten) sink.writeHead(answer.status, headers);
      this.#collector.noteBytes(bytes);
      await sink.write(bytes);
    }
    options.onWhole();
    this.#collector.putAnswer();
    if (!sink.headWritten) sink.writeHead(answer.status, headers);
    await sink.end();
  }

  override canContinue(): boolean {
    return !this.#start.run.start.sink.headWritten;
  }

  override endCut(_refusal: Refusal): Promise<void> {
    this.#start.run.start.sink.destroy();
    return Promise.resolve();
  }
}

function checkStatus(answer: UpstreamAnswer, idempotent: boolean): void {
  const isNotStarted = answer.status === SERVICE_UNAVAILABLE &&
    answer.headers[NOT_STARTED_HEADER] === "1";
  if (isNotStarted) {
    throw new BrokenAnswerError("Service did not start", { notStarted: true });
  }
  if (idempotent && RETRIED_STATUSES.has(answer.status)) {
    throw BrokenAnswerError.create(`Service answered ${answer.status}`);
  }
}
