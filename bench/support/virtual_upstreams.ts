/**
 * The upstreams of a fleet in virtual time, and the way to them.
 *
 * @module
 */
import {
  type CacheEvent,
  type EngineCommand,
  type LoadReport,
  type UpstreamAnswer,
  type UpstreamCall,
  UpstreamTransport,
} from "../../src/connection/upstream_transport.ts";
import { StepError } from "../../src/errors.ts";
import type { VmId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { Random } from "../../src/process/random.ts";
import { handleEngineCall } from "../../standin/engine_calls.ts";
import { EngineCore } from "../../standin/engine_core.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import { AnswerPipe, createUpstreamError } from "./answer_pipe.ts";
import type { ExampleRecords } from "./example_records.ts";
import { findTag } from "./tags.ts";
import { VirtualService } from "./virtual_service.ts";

const DELAY_MS = 0.5;

/** One request that reached an upstream. */
export interface SendRecord {
  tag: number;
  upstream: VmId;
  at: number;
  /** Whether an engine took it in; always true for a service. */
  accepted: boolean;
}

/** What the upstreams are made with. */
export interface VirtualUpstreamsOptions {
  clock: Clock;
  random: Random;
  examples: ExampleRecords;
  engine: Partial<EngineOptions>;
}

/** Engines and service replicas of one membership list. */
export class VirtualUpstreams {
  readonly engines = new Map<VmId, EngineCore>();
  readonly services = new Map<VmId, VirtualService>();
  /** Every request that an upstream accepted, in order. */
  readonly sends: SendRecord[] = [];
  readonly clock: Clock;

  constructor(options: VirtualUpstreamsOptions) {
    const { clock, random, examples, engine } = options;
    this.clock = clock;
    for (const vm of examples.list.vms) {
      const pool = vm.pool && examples.snapshot.pools.get(vm.pool);
      if (!pool) continue;
      if (pool.type === "service") {
        this.services.set(vm.id, VirtualService.create(clock, random));
        continue;
      }
      const models = pool.models
        .map(({ model, version, adapters }) => ({ model, version, adapters }));
      const core = EngineCore.create(clock, random, {
        fencing: pool.fencing,
        ...engine,
        models,
      });
      this.engines.set(vm.id, core);
    }
  }

  static create(options: VirtualUpstreamsOptions): VirtualUpstreams {
    return new VirtualUpstreams(options);
  }

  /** The way that one VM has to the upstreams. */
  createTransport(): VirtualTransport {
    return VirtualTransport.create(this);
  }

  /** Tokens that all engines generated. */
  countGeneratedTokens(): number {
    return this.#computeSum((core) => core.counts.tokens);
  }

  /** Prompt tokens that all engines worked through. */
  countPrefillTokens(): number {
    return this.#computeSum((core) => core.counts.prefillTokens);
  }

  /** How often each tagged service call was carried out, at all replicas. */
  countExecutions(): Map<number, number> {
    const counts = new Map<number, number>();
    for (const service of this.services.values()) {
      for (const [tag, count] of service.listExecutions()) {
        counts.set(tag, (counts.get(tag) ?? 0) + count);
      }
    }
    return counts;
  }

  #computeSum(get: (core: EngineCore) => number): number {
    let sum = 0;
    for (const core of this.engines.values()) sum += get(core);
    return sum;
  }
}

/** One VM's connections to the upstreams. */
export class VirtualTransport extends UpstreamTransport {
  readonly #upstreams: VirtualUpstreams;
  readonly #closed = new AbortController();

  constructor(upstreams: VirtualUpstreams) {
    super();
    this.#upstreams = upstreams;
  }

  static create(upstreams: VirtualUpstreams): VirtualTransport {
    return new VirtualTransport(upstreams);
  }

  /** Ends every connection, as the end of the VM's process does. */
  close(): void {
    this.#closed.abort();
  }

  override async send(call: UpstreamCall): Promise<UpstreamAnswer> {
    const { clock, engines, services, sends } = this.#upstreams;
    const signal = AbortSignal.any([call.signal, this.#closed.signal]);
    if (signal.aborted) throw createUpstreamError(call, "aborted", false);
    await clock.sleep(DELAY_MS);
    const core = engines.get(call.upstream);
    const service = services.get(call.upstream);
    if (core?.isCrashed || (core ?? service) === undefined) {
      throw createUpstreamError(call, "connect", false);
    }
    const body = new TextDecoder().decode(call.body);
    const record: SendRecord = {
      tag: findTag(`${call.path} ${body}`),
      upstream: call.upstream,
      at: clock.now(),
      accepted: true,
    };
    sends.push(record);
    if (core === undefined) {
      return this.#sendToService(service!, { ...call, signal }, body);
    }
    const before = core.counts.accepted;
    const answer = this.#sendToEngine(core, { ...call, signal });
    record.accepted = core.counts.accepted > before;
    return answer;
  }

  override async fetchLoad(upstream: VmId): Promise<LoadReport> {
    const core = await this.#fetchEngine(upstream);
    return core.getLoad();
  }

  override async fetchCacheEvents(
    upstream: VmId,
    after: number,
  ): Promise<CacheEvent[]> {
    const core = await this.#fetchEngine(upstream);
    return core.listCacheEvents(after);
  }

  override async sendCommand(
    upstream: VmId,
    order: EngineCommand,
  ): Promise<boolean> {
    const core = await this.#fetchEngine(upstream);
    return core.applyCommand(order);
  }

  override async copyCache(
    from: VmId,
    to: VmId,
    prefixes: string[],
  ): Promise<number> {
    const source = await this.#fetchEngine(from);
    const target = await this.#fetchEngine(to);
    return target.addCached(source.listCached(prefixes));
  }

  async #fetchEngine(upstream: VmId): Promise<EngineCore> {
    await this.#upstreams.clock.sleep(2 * DELAY_MS);
    const core = this.#upstreams.engines.get(upstream);
    if (core !== undefined && !core.isCrashed) return core;
    const place = { step: "upstream_report", peer: upstream };
    throw new StepError(place, "The upstream does not answer");
  }

  #sendToEngine(
    core: EngineCore,
    call: UpstreamCall,
  ): Promise<UpstreamAnswer> {
    let cancel = () => {};
    const pipe = this.#createPipe(call, () => cancel());
    cancel = handleEngineCall(core, call, pipe);
    return pipe.answer;
  }

  #sendToService(
    service: VirtualService,
    call: UpstreamCall,
    body: string,
  ): Promise<UpstreamAnswer> {
    const pipe = this.#createPipe(call, () => {});
    const run = async () => {
      const end = await service.runCall(call.path, body);
      if (end.kind === "cut") return pipe.destroy();
      const type = { "content-type": "application/json" };
      pipe.writeHead(200, type);
      pipe.write(end.body);
      pipe.end();
    };
    void run();
    return pipe.answer;
  }

  #createPipe(call: UpstreamCall, onCancel: () => void): AnswerPipe {
    const { clock } = this.#upstreams;
    return AnswerPipe.create({ clock, call, delayMs: DELAY_MS, onCancel });
  }
}
