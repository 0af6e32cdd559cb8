/**
 * A network of VMs in one process and in virtual time, for tests and
 * benchmarks.
 *
 * @module
 */
import { StepError, toError } from "../src/errors.ts";
import type { VmId } from "../src/ids.ts";
import { type CancelTimer, Clock } from "../src/process/clock.ts";
import {
  type AcquireCall,
  type ClaimCall,
  type HandOverCall,
  type LimitCall,
  PeerApi,
  PeerDirectory,
  type ProbeCall,
  type RequestStatusCall,
  type SettleCall,
  type SnapshotCall,
  type SuspectsCall,
  type SyncCall,
} from "../src/process/peer_api.ts";
import type { Random } from "../src/process/random.ts";

const DEFAULT_DELAY_MS = 0.5;
const DEFAULT_TIMEOUT_MS = 1_000;

/** Options of a network. */
export interface NetworkOptions {
  clock: Clock;
  random: Random;
  /** Default one-way delay between any two VMs. */
  delayMs?: number;
  /** Time after which an unanswered call fails. */
  timeoutMs?: number;
}

/** Traffic of one VM, measured as JSON without headers. */
export interface Traffic {
  messagesSent: number;
  bytesSent: number;
  messagesReceived: number;
  bytesReceived: number;
}

/** Callbacks deferred while a VM is paused. */
interface PausedWork {
  timers: (() => void)[];
  messages: (() => void)[];
}

type Invoke = (api: PeerApi, args: unknown[]) => Promise<unknown>;

/**
 * Carries calls between registered VMs, with delays, losses, partitions and
 * pauses.
 */
export class VirtualNetwork {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #delayMs: number;
  readonly #timeoutMs: number;
  readonly #apis = new Map<VmId, PeerApi>();
  readonly #delays = new Map<string, number>();
  readonly #cuts = new Set<string>();
  readonly #paused = new Map<VmId, PausedWork>();
  readonly #traffic = new Map<VmId, Traffic>();
  #lossRate = 0;
  #duplicateRate = 0;

  constructor(options: NetworkOptions) {
    this.#clock = options.clock;
    this.#random = options.random;
    this.#delayMs = options.delayMs ?? DEFAULT_DELAY_MS;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  static create(options: NetworkOptions): VirtualNetwork {
    return new VirtualNetwork(options);
  }

  /**
   * Adds a VM to the network; a restarted VM replaces its previous incarnation.
   */
  addVm(vm: VmId, api: PeerApi): void {
    this.#apis.set(vm, api);
  }

  /**
   * Removes a VM as if its process had ended: calls to it are refused after one
   * round trip.
   */
  removeVm(vm: VmId): void {
    this.#apis.delete(vm);
    this.#paused.delete(vm);
  }

  /** Creates the directory through which `vm` calls the others. */
  createDirectory(vm: VmId): PeerDirectory {
    return new VirtualDirectory((to, invoke, args) =>
      this.#sendCall({ from: vm, to }, invoke, args)
    );
  }

  /**
   * Creates a clock for `vm` whose timers are deferred while the VM is paused.
   */
  createClock(vm: VmId): Clock {
    return new PausableClock(
      this.#clock,
      (callback) => this.#runUnlessPaused(vm, "timers", callback),
    );
  }

  /** Drops all messages between `a` and `b`, in both directions. */
  cut(a: VmId, b: VmId): void {
    this.#cuts.add(toLink(a, b));
    this.#cuts.add(toLink(b, a));
  }

  /** Drops all messages between the VMs of `left` and those of `right`. */
  cutBetween(left: readonly VmId[], right: readonly VmId[]): void {
    for (const a of left) {
      for (const b of right) this.cut(a, b);
    }
  }

  /** Restores the link between `a` and `b`, or all links. */
  heal(a?: VmId, b?: VmId): void {
    if (a === undefined || b === undefined) {
      this.#cuts.clear();
      return;
    }
    this.#cuts.delete(toLink(a, b));
    this.#cuts.delete(toLink(b, a));
  }

  /** Sets the one-way delay between `a` and `b`, in both directions. */
  setDelay(a: VmId, b: VmId, ms: number): void {
    this.#delays.set(toLink(a, b), ms);
    this.#delays.set(toLink(b, a), ms);
  }

  /** Sets the share of messages that are lost in each direction, 0 to 1. */
  setLossRate(rate: number): void {
    this.#lossRate = rate;
  }

  /** Sets the share of calls that are delivered twice, 0 to 1. */
  setDuplicateRate(rate: number): void {
    this.#duplicateRate = rate;
  }

  /** Pauses a VM as SIGSTOP does: its timers and messages are deferred. */
  pause(vm: VmId): void {
    if (this.#paused.has(vm)) return;
    this.#paused.set(vm, { timers: [], messages: [] });
  }

  /**
   * Resumes a paused VM. Timers that are due run before any message is read,
   * as in Node's event loop, so a call can time out although its answer has
   * already arrived.
   */
  resume(vm: VmId): void {
    const waiting = this.#paused.get(vm);
    this.#paused.delete(vm);
    for (const callback of waiting?.timers ?? []) callback();
    for (const callback of waiting?.messages ?? []) {
      const runMessage = () => this.#runUnlessPaused(vm, "messages", callback);
      this.#clock.startTimer(0, runMessage);
    }
  }

  /** Returns the traffic of `vm` so far. */
  getTraffic(vm: VmId): Traffic {
    let traffic = this.#traffic.get(vm);
    if (traffic === undefined) {
      traffic = {
        messagesSent: 0,
        bytesSent: 0,
        messagesReceived: 0,
        bytesReceived: 0,
      };
      this.#traffic.set(vm, traffic);
    }
    return traffic;
  }

  #sendCall(
    link: { from: VmId; to: VmId },
    invoke: Invoke,
    args: unknown[],
  ): Promise<unknown> {
    const { from, to } = link;
    return new Promise((resolve, reject) => {
      const fail = (message: string, cause?: Error) => {
        cancel();
        reject(new StepError({ step: "peer_call", peer: to, cause }, message));
      };
      const cancel = this.#clock.startTimer(
        this.#timeoutMs + getHoldMs(args),
        () =>
          this.#runUnlessPaused(
            from,
            "timers",
            () => fail("The peer did not answer within the timeout"),
          ),
      );
      const answer = (callback: () => void, body: unknown) =>
        this.#sendMessage({ from: to, to: from }, body, () => callback());
      const run = (received: unknown) => {
        const api = this.#apis.get(to);
        if (api === undefined) {
          answer(() => fail("The peer refused the connection"), null);
          return;
        }
        invoke(api, received as unknown[]).then(
          (value) => {
            const text = toText(value);
            const settle = () => {
              cancel();
              resolve(parseText(text));
            };
            answer(settle, value);
          },
          (error) =>
            answer(
              () => fail("The peer returned an error", toError(error)),
              null,
            ),
        );
      };
      this.#sendMessage(link, args, run);
      if (this.#isChosen(this.#duplicateRate)) {
        this.#sendMessage(link, args, run);
      }
    });
  }

  #sendMessage(
    link: { from: VmId; to: VmId },
    body: unknown,
    receive: (body: unknown) => void,
  ): void {
    const text = toText(body);
    const sent = this.getTraffic(link.from);
    sent.messagesSent += 1;
    sent.bytesSent += text.length;
    const name = toLink(link.from, link.to);
    if (this.#cuts.has(name) || this.#isChosen(this.#lossRate)) return;
    const delayMs = this.#delays.get(name) ?? this.#delayMs;
    this.#clock.startTimer(delayMs, () => {
      if (this.#cuts.has(name)) return;
      this.#runUnlessPaused(link.to, "messages", () => {
        const received = this.getTraffic(link.to);
        received.messagesReceived += 1;
        received.bytesReceived += text.length;
        receive(parseText(text));
      });
    });
  }

  #runUnlessPaused(
    vm: VmId,
    kind: keyof PausedWork,
    callback: () => void,
  ): void {
    const waiting = this.#paused.get(vm);
    if (waiting === undefined) callback();
    else waiting[kind].push(callback);
  }

  #isChosen(rate: number): boolean {
    return rate > 0 && this.#random.next() < rate;
  }
}

function toLink(from: VmId, to: VmId): string {
  return `${from}>${to}`;
}

function toText(value: unknown): string {
  return JSON.stringify(value ?? null);
}

function parseText(text: string): unknown {
  return JSON.parse(text);
}

function getHoldMs(args: unknown[]): number {
  const call = args[0] as { holdMs?: number } | undefined;
  return call?.holdMs ?? 0;
}

class PausableClock extends Clock {
  readonly #clock: Clock;
  readonly #runUnlessPaused: (callback: () => void) => void;

  constructor(
    clock: Clock,
    runUnlessPaused: (callback: () => void) => void,
  ) {
    super();
    this.#clock = clock;
    this.#runUnlessPaused = runUnlessPaused;
  }

  now(): number {
    return this.#clock.now();
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  startTimer(ms: number, callback: () => void): CancelTimer {
    let isCancelled = false;
    const runOnce = () => {
      if (!isCancelled) callback();
    };
    const cancel = this.#clock.startTimer(
      ms,
      () => this.#runUnlessPaused(runOnce),
    );
    return () => {
      isCancelled = true;
      cancel();
    };
  }
}

type Send = (to: VmId, invoke: Invoke, args: unknown[]) => Promise<unknown>;

class VirtualDirectory extends PeerDirectory {
  readonly #send: Send;

  constructor(send: Send) {
    super();
    this.#send = send;
  }

  getPeer(vm: VmId): PeerApi {
    return new VirtualPeer((invoke, args) => this.#send(vm, invoke, args));
  }
}

/** Sends each call through the network as JSON, as over a socket. */
class VirtualPeer extends PeerApi {
  readonly #send: (invoke: Invoke, args: unknown[]) => Promise<unknown>;

  constructor(send: (invoke: Invoke, args: unknown[]) => Promise<unknown>) {
    super();
    this.#send = send;
  }

  acquire(call: AcquireCall): ReturnType<PeerApi["acquire"]> {
    return this.#sendCall("acquire", call);
  }

  syncLeases(call: SyncCall): ReturnType<PeerApi["syncLeases"]> {
    return this.#sendCall("syncLeases", call);
  }

  probe(call: ProbeCall): ReturnType<PeerApi["probe"]> {
    return this.#sendCall("probe", call);
  }

  probeVia(
    target: VmId,
    call: ProbeCall,
  ): ReturnType<PeerApi["probeVia"]> {
    return this.#sendCall("probeVia", target, call);
  }

  fetchSnapshot(call: SnapshotCall): ReturnType<PeerApi["fetchSnapshot"]> {
    return this.#sendCall("fetchSnapshot", call);
  }

  leaseLimit(call: LimitCall): ReturnType<PeerApi["leaseLimit"]> {
    return this.#sendCall("leaseLimit", call);
  }

  claimRun(call: ClaimCall): ReturnType<PeerApi["claimRun"]> {
    return this.#sendCall("claimRun", call);
  }

  settleRun(call: SettleCall): ReturnType<PeerApi["settleRun"]> {
    return this.#sendCall("settleRun", call);
  }

  findFate(call: RequestStatusCall): ReturnType<PeerApi["findFate"]> {
    return this.#sendCall("findFate", call);
  }

  handOver(call: HandOverCall): ReturnType<PeerApi["handOver"]> {
    return this.#sendCall("handOver", call);
  }

  collectStats(): ReturnType<PeerApi["collectStats"]> {
    return this.#sendCall("collectStats");
  }

  noteSuspects(call: SuspectsCall): ReturnType<PeerApi["noteSuspects"]> {
    return this.#sendCall("noteSuspects", call);
  }

  checkReach(upstream: VmId): ReturnType<PeerApi["checkReach"]> {
    return this.#sendCall("checkReach", upstream);
  }

  #sendCall<T>(method: keyof PeerApi, ...args: unknown[]): Promise<T> {
    const invoke: Invoke = (api, received) => {
      const run = api[method] as (...given: unknown[]) => Promise<unknown>;
      return run.apply(api, received);
    };
    return this.#send(invoke, args) as Promise<T>;
  }
}
