/**
 * Engines and service replicas in virtual time, with faults, and a record of
 * every request sent to them.
 *
 * @module
 */
import {
  AnswerPipe,
  createUpstreamError,
} from "../../bench/support/answer_pipe.ts";
import { findTag } from "../../bench/support/tags.ts";
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
import type { MembershipList } from "../../src/version/index.ts";
import { handleEngineCall } from "../../standin/engine_calls.ts";
import { EngineCore } from "../../standin/engine_core.ts";
import { ServiceCore, type ServiceFault } from "../../standin/service_core.ts";
import type { VirtualClock } from "../../standin/virtual_clock.ts";
import { getExamples } from "./fuzz_records.ts";
import type { User } from "../../bench/support/example_records.ts";

const DELAY_MS = 0.5;
const ENGINE = {
  baseMs: 40,
  perRunningMs: 2,
  maxBatch: 3,
  cachedPrefixes: 4,
  loadLagMs: 500,
};

/** One request that reached an upstream. */
export interface SendRecord {
  tag: number;
  requestId: string;
  upstream: VmId;
  /** The incarnation that sent it. */
  incarnation: string;
  at: number;
  /** Whether the upstream started the request. */
  began: boolean;
  /** Whether it was sent on resuming from a pause past all leases. */
  wasAfterPause: boolean;
}

/** A replica of a service without model. */
export interface FuzzService {
  core: ServiceCore;
  workMs: number;
  isDown: boolean;
  faults: ServiceFault[];
}

/** The sending process. */
export interface Sender {
  readonly incarnation: string;
  readonly clock: Clock;
  /** Whether it resumes at this moment after all of its leases expired. */
  readonly hasLostLeases: boolean;
}

/** All upstreams of a run. */
export class FuzzUpstreams {
  readonly engines = new Map<VmId, EngineCore>();
  readonly services = new Map<VmId, FuzzService>();
  readonly sends: SendRecord[] = [];
  /** Headers that are added to all answers of an upstream. */
  readonly extraHeaders = new Map<VmId, Record<string, string>>();
  /** Engines whose load reports fail. */
  readonly unreported = new Set<VmId>();
  /** Incarnations of VMs that have no path to any upstream. */
  readonly cutOff = new Set<string>();
  readonly clock: VirtualClock;

  constructor(
    options: {
      clock: VirtualClock;
      random: Random;
      user: User;
      list: MembershipList;
    },
  ) {
    this.clock = options.clock;
    const { snapshot } = getExamples(options.user);
    for (const vm of options.list.vms) {
      const pool = vm.pool && snapshot.pools.get(vm.pool);
      if (!pool) continue;
      if (pool.type === "service") {
        const core = ServiceCore.create();
        const service = { core, workMs: 20, isDown: false, faults: [] };
        this.services.set(vm.id, service);
        continue;
      }
      const models = pool.models
        .map(({ model, version, adapters }) => ({ model, version, adapters }));
      const { clock, random } = options;
      const engine = { ...ENGINE, fencing: pool.fencing, models };
      this.engines.set(vm.id, EngineCore.create(clock, random, engine));
    }
  }

  /** Whether the upstream's process is running. */
  isUp(upstream: VmId): boolean {
    const core = this.engines.get(upstream);
    if (core !== undefined) return !core.isCrashed;
    return this.services.get(upstream)?.isDown === false;
  }

  createTransport(sender: Sender): FuzzTransport {
    return new FuzzTransport(this, sender);
  }

  /** Ends every fault and restarts crashed engines. */
  removeFaults(): void {
    this.unreported.clear();
    for (const core of this.engines.values()) {
      if (core.isCrashed) core.restart();
      core.setCrashAfter(Infinity);
      core.silenceNextRequests(0);
      core.refuseNextRequests(0);
      core.setLeaving(false);
      Object.assign(core.options, { speedFactor: 1, loadLagMs: 500 });
    }
    for (const service of this.services.values()) {
      Object.assign(service, { workMs: 20, isDown: false, faults: [] });
    }
  }
}

/** One VM's transport to the upstreams; answers wait while it is paused. */
export class FuzzTransport extends UpstreamTransport {
  readonly #upstreams: FuzzUpstreams;
  readonly #sender: Sender;
  readonly #closed = new AbortController();

  constructor(upstreams: FuzzUpstreams, sender: Sender) {
    super();
    this.#upstreams = upstreams;
    this.#sender = sender;
  }

  /** Closes every connection, like the end of the process. */
  close(): void {
    this.#closed.abort();
  }

  override async send(call: UpstreamCall): Promise<UpstreamAnswer> {
    const { clock, engines, services } = this.#upstreams;
    const signal = AbortSignal.any([call.signal, this.#closed.signal]);
    if (signal.aborted) throw createUpstreamError(call, "aborted", false);
    const wasAfterPause = this.#sender.hasLostLeases;
    await clock.sleep(DELAY_MS);
    const core = engines.get(call.upstream);
    const service = services.get(call.upstream);
    if (!this.#isReached(call.upstream)) {
      await this.#sender.clock.sleep(DELAY_MS);
      throw createUpstreamError(call, "connect", false);
    }
    const body = new TextDecoder().decode(call.body);
    const record: SendRecord = {
      tag: findTag(`${call.path} ${body}`),
      requestId: call.headers["x-request-id"] ?? "",
      upstream: call.upstream,
      incarnation: this.#sender.incarnation,
      at: clock.now(),
      began: false,
      wasAfterPause,
    };
    this.#upstreams.sends.push(record);
    const sent = { ...call, signal };
    const answer = core === undefined
      ? await this.#sendToService(service!, sent, { body, record })
      : await this.#sendToEngine(core, sent, record);
    const extra = this.#upstreams.extraHeaders.get(call.upstream);
    return { ...answer, headers: { ...answer.headers, ...extra } };
  }

  override async isListening(upstream: VmId): Promise<boolean> {
    await this.#sender.clock.sleep(2 * DELAY_MS);
    return this.#isReached(upstream);
  }

  override async fetchLoad(upstream: VmId): Promise<LoadReport> {
    return (await this.#fetchEngine(upstream)).getLoad();
  }

  override async fetchCacheEvents(
    upstream: VmId,
    after: number,
  ): Promise<CacheEvent[]> {
    return (await this.#fetchEngine(upstream)).listCacheEvents(after);
  }

  override async sendCommand(
    upstream: VmId,
    command: EngineCommand,
  ): Promise<boolean> {
    return (await this.#fetchEngine(upstream)).applyCommand(command);
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

  #isReached(upstream: VmId): boolean {
    return this.#upstreams.isUp(upstream) &&
      !this.#upstreams.cutOff.has(this.#sender.incarnation);
  }

  async #fetchEngine(upstream: VmId): Promise<EngineCore> {
    await this.#sender.clock.sleep(2 * DELAY_MS);
    const core = this.#upstreams.engines.get(upstream);
    const isSilent = this.#upstreams.unreported.has(upstream);
    if (core !== undefined && !core.isCrashed && !isSilent) return core;
    const place = { step: "upstream_report", peer: upstream };
    throw new StepError(place, "The upstream does not answer");
  }

  #sendToEngine(
    core: EngineCore,
    call: UpstreamCall,
    record: SendRecord,
  ): Promise<UpstreamAnswer> {
    let cancel = () => {};
    const pipe = this.#createPipe(call, () => cancel());
    const before = core.counts.accepted;
    cancel = handleEngineCall(core, call, pipe);
    record.began = core.counts.accepted > before;
    if (call.signal.aborted) cancel();
    return pipe.answer;
  }

  #sendToService(
    service: FuzzService,
    call: UpstreamCall,
    sent: { body: string; record: SendRecord },
  ): Promise<UpstreamAnswer> {
    const pipe = this.#createPipe(call, () => {});
    void this.#runService(service, call, { ...sent, pipe });
    return pipe.answer;
  }

  async #runService(
    service: FuzzService,
    call: UpstreamCall,
    sent: { body: string; record: SendRecord; pipe: AnswerPipe },
  ): Promise<void> {
    const { body, record, pipe } = sent;
    const fault = service.faults.shift();
    await this.#upstreams.clock.sleep(service.workMs);
    if (service.isDown) return pipe.destroy();
    service.core.setFaults(fault === undefined ? [] : [fault]);
    record.began = fault !== "not_started" && fault !== "cut_before";
    const answer = service.core.handleCall({
      method: call.method,
      path: call.path,
      requestId: record.requestId,
      body,
    });
    if (answer.kind === "cut") return pipe.destroy();
    if (answer.kind === "silent") return;
    const type = { "content-type": "application/json" };
    pipe.writeHead(answer.status, { ...answer.headers, ...type });
    pipe.write(JSON.stringify(answer.body));
    pipe.end();
  }

  #createPipe(call: UpstreamCall, onCancel: () => void): AnswerPipe {
    const pipe = AnswerPipe.create({
      clock: this.#sender.clock,
      call,
      delayMs: DELAY_MS,
      onCancel,
    });
    // The head of a call whose sender has ended is not awaited.
    pipe.answer.catch(() => {});
    if (call.signal.aborted) {
      const error = createUpstreamError(call, "aborted", true);
      return Object.assign(pipe, { answer: Promise.reject(error) });
    }
    return pipe;
  }
}
