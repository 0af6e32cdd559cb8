/**
 * Fakes of a request's collaborators: slots, limits, callers, metrics.
 *
 * @module
 */
import { UpstreamTransport } from "../../src/connection/upstream_transport.ts";
import type {
  UpstreamAnswer,
  UpstreamCall,
} from "../../src/connection/upstream_transport.ts";
import { type DataCentre, type LeaseId, toId } from "../../src/ids.ts";
import type { Incarnation, VmId } from "../../src/ids.ts";
import { type RefusalCode, RefusalError } from "../../src/outcome.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { Environment } from "../../src/process/environment.ts";
import { Log, SilentLog } from "../../src/process/log.ts";
import type { LogFields, LogLevel } from "../../src/process/log.ts";
import { type PeerApi, PeerDirectory } from "../../src/process/peer_api.ts";
import { type Random, SeededRandom } from "../../src/process/random.ts";
import {
  HeldLease,
  LeaseSource,
  LimitSource,
  RequestMetrics,
} from "../../src/process/services.ts";
import type {
  FinishedRequest,
  LeaseProgress,
  LeaseRequest,
} from "../../src/process/services.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import { CallerSink } from "../../src/request/caller_sink.ts";

const LEASE_TTL_MS = 2_000;

/** A caller that records its answer. */
export class FakeSink extends CallerSink {
  readonly controller = new AbortController();
  status = 0;
  headers: Record<string, string> = {};
  chunks: Uint8Array[] = [];
  isEnded = false;
  isDestroyed = false;
  /** Called at each write; resolves when the caller is ready for more. */
  onWrite: (bytes: Uint8Array) => Promise<void> = () => Promise.resolve();

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get headWritten(): boolean {
    return this.status !== 0;
  }

  get text(): string {
    return Buffer.concat(this.chunks).toString("utf8");
  }

  // deno-lint-ignore no-explicit-any
  get json(): any {
    return JSON.parse(this.text);
  }

  /** Whether the answer ended as a complete one. */
  get isWhole(): boolean {
    return this.isEnded && !this.isDestroyed;
  }

  writeHead(status: number, headers: Record<string, string>): void {
    if (this.headWritten) throw new Error("Head written twice");
    this.status = status;
    this.headers = headers;
  }

  async write(bytes: Uint8Array): Promise<void> {
    if (!this.headWritten) throw new Error("Body written before its head");
    if (this.isEnded) throw new Error("Body written after its end");
    if (this.signal.aborted || this.isDestroyed) return;
    this.chunks.push(Uint8Array.from(bytes));
    await this.onWrite(bytes);
  }

  end(): Promise<void> {
    this.isEnded = true;
    return Promise.resolve();
  }

  destroy(): void {
    this.isDestroyed = true;
  }
}

/** A lease that is valid for `LEASE_TTL_MS` after its request. */
export class FakeLease extends HeldLease {
  readonly lease = toId<LeaseId>("lease");
  readonly priority = 7;
  readonly preemption = new AbortController();
  readonly request: LeaseRequest;
  readonly upstream: VmId;
  readonly #clock: Clock;
  readonly #validUntil: number;
  releases: string[] = [];
  progress: LeaseProgress | undefined;

  constructor(
    request: LeaseRequest,
    options: { upstream: VmId; clock: Clock; requestedAt: number },
  ) {
    super();
    this.request = request;
    this.upstream = options.upstream;
    this.#clock = options.clock;
    this.#validUntil = options.requestedAt + LEASE_TTL_MS;
  }

  get preempted(): AbortSignal {
    return this.preemption.signal;
  }

  /** The state with which the slot was released. */
  get state(): string | undefined {
    return this.releases[0];
  }

  isValid(): boolean {
    return this.#clock.now() < this.#validUntil;
  }

  noteProgress(progress: LeaseProgress): void {
    this.progress = progress;
  }

  release(state: string): void {
    this.releases.push(state);
  }
}

/** Grants a slot on the first upstream that the request does not avoid. */
export class FakeLeases extends LeaseSource {
  readonly leases: FakeLease[] = [];
  readonly #clock: Clock;
  readonly #upstreams: VmId[];
  /** Delay of each grant in order, in milliseconds; later ones have none. */
  delaysMs: number[] = [];
  onGrant: (lease: FakeLease) => void = () => {};

  constructor(clock: Clock, upstreams: string[]) {
    super();
    this.#clock = clock;
    this.#upstreams = upstreams.map((name) => toId<VmId>(name));
  }

  async acquire(
    request: LeaseRequest,
    options: { signal: AbortSignal },
  ): Promise<HeldLease> {
    const requestedAt = this.#clock.now();
    const delayMs = this.delaysMs.shift() ?? 0;
    if (delayMs > 0) await this.#clock.sleep(delayMs, options.signal);
    if (options.signal.aborted) throw refuse("cancelled");
    const upstream = this.#upstreams
      .find((each) => !request.avoid.includes(each));
    if (upstream === undefined) throw refuse("no_upstream");
    const lease = new FakeLease(request, {
      upstream,
      clock: this.#clock,
      requestedAt,
    });
    this.leases.push(lease);
    this.onGrant(lease);
    return lease;
  }
}

function refuse(code: "cancelled" | "no_upstream"): RefusalError {
  return new RefusalError({ code, message: code, outcome: "not_run" });
}

/** Admits all requests and records the charges. */
export class FakeLimits extends LimitSource {
  admitted: number[] = [];
  settled: { estimated: number; actual: number }[] = [];
  refusal: RefusalError | undefined;

  admit(_workspace: unknown, tokens: number): Promise<void> {
    if (this.refusal !== undefined) return Promise.reject(this.refusal);
    this.admitted.push(tokens);
    return Promise.resolve();
  }

  settle(
    _workspace: unknown,
    counts: { estimated: number; actual: number },
  ): void {
    this.settled.push(counts);
  }
}

/** Records every finished request. */
export class FakeMetrics extends RequestMetrics {
  finished: FinishedRequest[] = [];
  phases: string[] = [];
  truncated: unknown[] = [];
  refused: RefusalCode[] = [];

  noteStep(_className: unknown, step: string): void {
    this.phases.push(step);
  }

  noteFinished(figures: FinishedRequest): void {
    this.finished.push(figures);
  }

  noteRefused(_className: unknown, code: RefusalCode): void {
    this.refused.push(code);
  }

  noteTruncated(className: unknown): void {
    this.truncated.push(className);
  }
}

/** Upstreams whose answers a function computes. */
export class FakeUpstreams extends UpstreamTransport {
  readonly calls: UpstreamCall[] = [];
  answer: (call: UpstreamCall, index: number) => Promise<UpstreamAnswer> = () =>
    Promise.reject(new Error("FakeUpstreams.answer is not set"));

  send(call: UpstreamCall): Promise<UpstreamAnswer> {
    this.calls.push(call);
    return this.answer(call, this.calls.length - 1);
  }

  fetchLoad(): Promise<never> {
    return Promise.reject(new Error("Not needed"));
  }

  fetchCacheEvents(): Promise<never> {
    return Promise.reject(new Error("Not needed"));
  }

  sendCommand(): Promise<never> {
    return Promise.reject(new Error("Not needed"));
  }

  copyCache(): Promise<never> {
    return Promise.reject(new Error("Not needed"));
  }
}

/** Peers by name; calls to any other VM fail. */
export class FakePeers extends PeerDirectory {
  readonly peers = new Map<string, PeerApi>();

  getPeer(vm: VmId): PeerApi {
    const peer = this.peers.get(vm);
    if (peer === undefined) throw new Error(`VM ${vm} does not answer`);
    return peer;
  }
}

/** Records every line. */
export class FakeLog extends Log {
  lines: { level: LogLevel; event: string; fields: LogFields }[] = [];

  write(level: LogLevel, event: string, fields: LogFields): void {
    this.lines.push({ level, event, fields });
  }
}

/** Builds an environment of fakes. */
export function buildEnvironment(
  clock: Clock,
  options: {
    vm?: string;
    incarnation?: string;
    seed?: number;
    random?: Random;
    peers?: FakePeers;
    upstreams?: UpstreamTransport;
    log?: Log;
  } = {},
): Environment {
  return {
    vm: toId<VmId>(options.vm ?? "vm-a"),
    incarnation: toId<Incarnation>(options.incarnation ?? "i1"),
    dataCentre: toId<DataCentre>("dc-1"),
    clock,
    random: options.random ?? SeededRandom.create(options.seed ?? 1),
    log: options.log ?? SilentLog.create(),
    peers: options.peers ?? new FakePeers(),
    upstreams: options.upstreams ?? new FakeUpstreams(),
  };
}

/** Builds a caller's request with the test workspace's key. */
export function buildRequest(
  method: string,
  path: string,
  options: {
    body?: unknown;
    headers?: Record<string, string>;
    query?: string;
    arrivedAt?: number;
  } = {},
): CallerRequest {
  const body = options.body === undefined
    ? new Uint8Array()
    : Buffer.from(JSON.stringify(options.body));
  return {
    method,
    path,
    query: options.query ?? "",
    headers: { authorization: "Bearer key-1", ...options.headers },
    body,
    remoteAddress: "127.0.0.1",
    arrivedAt: options.arrivedAt ?? 0,
  };
}
