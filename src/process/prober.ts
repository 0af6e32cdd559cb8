/**
 * Probes other entry VMs by the SWIM protocol, with gossip piggybacked on the
 * probes.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { VersionExchange } from "./configuration_exchange.ts";
import type { Environment } from "./environment.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import { ShardSummaries } from "./shard_summaries.ts";
import { MemberRotation } from "./member_rotation.ts";
import { withTimeout } from "./with_timeout.ts";
import type { ProbeAnswer, ProbeCall, ShardSummary } from "./peer_api.ts";

const PROBE_PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 200;
/** An indirect probe takes two more hops. */
const INDIRECT_TIMEOUT_MS = 250;
const INDIRECT_PROBE_COUNT = 2;
const MIN_SUSPICION_PERIODS = 3;
/** Number of periods between two probes of dead VMs. */
const DEAD_PROBE_PERIODS = 4;
/** VMs that are informed at once of a new version or of a VM that is gone. */
const FAN_OUT = 2;
/**
 * Minimum time between urgent updates about VMs that are gone, so that many
 * such VMs cost no more than one.
 */
const URGENT_INTERVAL_MS = 1_000;
/**
 * VMs that are probed at a time after a pause, the number of rounds, and the
 * timeout of each.
 */
const REFRESH_PROBES = 3;
const REFRESH_ROUNDS = 3;
const REFRESH_TIMEOUT_MS = 1_000;

/** Options of `Prober`. */
export interface ProberOptions {
  environment: Environment;
  membership: FleetMembership;
  versions: VersionExchange;
  /** Time between two probes of this VM. */
  periodMs?: number;
}

/** Failure detector of one VM. */
export class Prober {
  readonly summaries: ShardSummaries;
  readonly #environment: Environment;
  readonly #membership: FleetMembership;
  readonly #versions: VersionExchange;
  readonly #periodMs: number;
  readonly #rotation: MemberRotation;
  readonly #stopped = new AbortController();
  #pauseCount = 0;
  #lastUrgentAt = -Infinity;
  readonly #ownSuspects = new Set<VmId>();

  constructor(options: ProberOptions) {
    this.#environment = options.environment;
    this.#membership = options.membership;
    this.#versions = options.versions;
    this.#periodMs = options.periodMs ?? PROBE_PERIOD_MS;
    this.summaries = ShardSummaries.create(options.environment.clock);
    this.#rotation = MemberRotation.create(options.environment.random);
  }

  static create(options: ProberOptions): Prober {
    return new Prober(options);
  }

  /** Starts to probe one member per period. */
  start(): void {
    this.#versions.onNewVersion(() => this.#probeSome(FAN_OUT));
    this.#membership.onUrgentUpdate(() => this.#sendUrgentUpdates());
    this.#membership.onPause(() => {
      this.#pauseCount += 1;
      void this.#updateView();
    });
    void this.#runPeriods();
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Announces the summary of a shard that this VM owns. */
  announceSummary(summary: ShardSummary): void {
    if (this.summaries.put(summary)) {
      this.#membership.gossip.putSummary(summary);
    }
  }

  /** Announces at once that this VM is draining. */
  startDraining(): void {
    this.#membership.startDraining();
  }

  /** Answers a probe with this VM's own gossip. */
  answerProbe(call: ProbeCall): ProbeAnswer {
    this.#handleMessage(call);
    const { listAgeMs: _, ...versions } = call;
    // The time that the call took is unknown, so the age in it is not used.
    void this.#versions.notePeerVersions(call.from.vm, versions);
    return this.#buildMessage(call.from.vm);
  }

  /** Probes `target` on behalf of a VM that got no answer from it. */
  async answerProbeVia(target: VmId, call: ProbeCall): Promise<boolean> {
    this.#handleMessage(call);
    return await this.#probeDirect(target);
  }

  async #runPeriods(): Promise<void> {
    const { clock, random } = this.#environment;
    const { signal } = this.#stopped;
    await clock.sleep(random.next() * this.#periodMs, signal);
    for (let period = 1; !signal.aborted; period += 1) {
      const periodOver = clock.sleep(this.#periodMs, signal);
      if (period % DEAD_PROBE_PERIODS === 0) this.#probeDead();
      this.#probeSuspects();
      const target = this.#rotation.takeNext(this.#listMembers());
      if (target !== undefined) await this.#probeMember(target);
      this.#applySuspicions();
      this.summaries.removeExpired();
      await periodOver;
    }
  }

  async #probeMember(target: VmId): Promise<void> {
    const pauseCount = this.#pauseCount;
    if (await this.#probeDirect(target)) return;
    if (await this.#probeIndirect(target)) return;
    // During a pause of this VM the timeouts expired without anyone listening
    // for answers; counting them would make the whole fleet suspect.
    if (this.#membership.isRecovering()) return;
    if (pauseCount !== this.#pauseCount || this.#stopped.signal.aborted) {
      return;
    }
    this.#membership.noteProbeFailure(target);
    this.#ownSuspects.add(target);
    this.#environment.log.info("member_suspected", { peer: target });
  }

  async #probeDirect(target: VmId): Promise<boolean> {
    const { clock, peers } = this.#environment;
    const sentAt = clock.now();
    const probe = peers.getPeer(target).probe(this.#buildMessage(target));
    const isAnswered = probe.then(
      (answer) => this.#handleAnswer(target, answer, sentAt) !== undefined,
      () => false,
    );
    const result = await withTimeout(isAnswered, PROBE_TIMEOUT_MS, clock);
    return result ?? false;
  }

  async #probeIndirect(target: VmId): Promise<boolean> {
    const { clock, peers } = this.#environment;
    const others = this.#listMembers().filter((vm) => vm !== target);
    const helpers = this.#environment.random.pickSample(
      others,
      INDIRECT_PROBE_COUNT,
    );
    if (helpers.length === 0) return false;
    const probes = helpers.map(async (helper) => {
      const call = this.#buildMessage(helper);
      const isAnswered = await peers.getPeer(helper).probeVia(target, call);
      if (!isAnswered) throw new Error("indirect probe was not answered");
      return true;
    });
    const anyAnswer = Promise.any(probes).catch(() => false);
    return await withTimeout(anyAnswer, INDIRECT_TIMEOUT_MS, clock) ?? false;
  }

  /**
   * Resolves when the newer versions have been fetched; undefined if another VM
   * answered.
   */
  #handleAnswer(
    target: VmId,
    answer: ProbeAnswer,
    sentAt: number,
  ): Promise<void> | undefined {
    // Another VM may have taken over the address.
    if (answer.from.vm !== target) return undefined;
    this.#handleMessage(answer);
    const elapsedMs = this.#environment.clock.now() - sentAt;
    const listAgeMs = answer.listAgeMs === undefined
      ? undefined
      : answer.listAgeMs + elapsedMs;
    const versions = { ...answer, listAgeMs };
    return this.#versions.notePeerVersions(target, versions);
  }

  #handleMessage(message: ProbeCall): void {
    this.#membership.applySelfReport(message);
    this.#membership.applyUpdates(message.members);
    for (const summary of message.summaries) {
      const isNew = summary.owner !== this.#environment.vm &&
        this.summaries.put(summary);
      if (isNew) this.#membership.gossip.putSummary(summary);
    }
  }

  #buildMessage(to: VmId): ProbeCall {
    const memberCount = this.#membership.listEntryVms().length;
    const { members, summaries } = this.#membership.gossip.take(memberCount);
    // A suspect must receive the suspicion to be able to refute it.
    const suspicion = this.#membership.findSuspicion(to);
    const others = members.filter((update) => update.vm !== to);
    return {
      ...this.#membership.getSelfReport(),
      ...this.#versions.getVersions(),
      members: suspicion === undefined ? members : [suspicion, ...others],
      summaries,
    };
  }

  #applySuspicions(): void {
    if (this.#membership.isRecovering()) return;
    const memberCount = this.#membership.listEntryVms().length;
    const periods = Math.max(
      MIN_SUSPICION_PERIODS,
      Math.log2(memberCount + 1),
    );
    const dead = this.#membership.applySuspicionTimeout(
      periods * this.#periodMs,
    );
    for (const vm of dead) {
      this.#environment.log.warn("member_dead", { peer: vm });
    }
  }

  /** VMs to probe in turn: all others that are not considered dead. */
  #listMembers(): VmId[] {
    return this.#listOthers().filter((vm) => this.#membership.isReachable(vm));
  }

  #listOthers(): VmId[] {
    const ids = this.#membership.listEntryVms().map((vm) => vm.id);
    return ids.filter((vm) => vm !== this.#environment.vm);
  }

  /**
   * After a partition both sides consider each other dead. Without an
   * occasional probe neither would notice that the partition has healed.
   */
  #probeDead(): void {
    const dead = this.#listOthers().filter((vm) =>
      !this.#membership.isReachable(vm)
    );
    const target = this.#environment.random.pick(dead);
    if (target !== undefined) void this.#probeDirect(target);
  }

  /**
   * A healthy suspect learns of the suspicion only from a message that arrives.
   * The VM that suspects it keeps probing it, so that lost messages alone do
   * not make a VM count as dead.
   */
  #probeSuspects(): void {
    for (const vm of this.#ownSuspects) {
      const suspicion = this.#membership.findSuspicion(vm);
      if (suspicion?.state === "suspect") void this.#probeDirect(vm);
      else this.#ownSuspects.delete(vm);
    }
  }

  #sendUrgentUpdates(): void {
    const now = this.#environment.clock.now();
    if (now - this.#lastUrgentAt < URGENT_INTERVAL_MS) return;
    this.#lastUrgentAt = now;
    this.#probeSome(FAN_OUT);
  }

  #probeSome(count: number): void {
    if (this.#stopped.signal.aborted) return;
    for (
      const vm of this.#environment.random.pickSample(
        this.#listMembers(),
        count,
      )
    ) {
      void this.#probeDirect(vm);
    }
  }

  /** Updates the view after a pause, before this VM acts as an owner again. */
  async #updateView(): Promise<void> {
    const pauseCount = this.#pauseCount;
    for (let round = 0; round < REFRESH_ROUNDS; round += 1) {
      const others = this.#environment.random.pickSample(
        this.#listOthers(),
        REFRESH_PROBES,
      );
      if (others.length === 0) break;
      const answers = await Promise.all(
        others.map((vm) => this.#probeAndFetch(vm)),
      );
      if (pauseCount !== this.#pauseCount) return;
      if (answers.some((isAnswered) => isAnswered)) break;
    }
    this.#membership.noteViewRefreshed();
  }

  /**
   * Probes `target` and waits until its newer versions have been fetched as
   * well.
   */
  async #probeAndFetch(target: VmId): Promise<boolean> {
    const { clock, peers } = this.#environment;
    const sentAt = clock.now();
    const probe = peers.getPeer(target).probe(this.#buildMessage(target));
    const isFetched = probe.then(async (answer) => {
      const fetched = this.#handleAnswer(target, answer, sentAt);
      if (fetched === undefined) return false;
      await fetched;
      return true;
    }, () => false);
    const result = await withTimeout(isFetched, REFRESH_TIMEOUT_MS, clock);
    return result ?? false;
  }
}
