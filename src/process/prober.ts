/**
 * Probes other entry VMs in the manner of SWIM and carries news with it.
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

const PERIOD_MS = 500;
const PROBE_TIMEOUT_MS = 200;
/** Through another VM the probe takes two hops more. */
const INDIRECT_TIMEOUT_MS = 250;
const INDIRECT_PROBES = 2;
const LEAST_SUSPICION_PERIODS = 3;
/** Each so many periods a VM that counts as dead is probed as well. */
const DEAD_PROBE_PERIODS = 4;
/** Others told at once of a new version, or of a VM that is gone. */
const FAN_OUT = 2;
/** Between two such calls for VMs that are gone, so that many cost no more. */
const URGENT_EVERY_MS = 1_000;
/** Others asked at once after a pause, and how often before giving up. */
const REFRESH_PROBES = 3;
const REFRESH_ROUNDS = 3;
const REFRESH_TIMEOUT_MS = 1_000;

/** What a prober needs. */
export interface ProberOptions {
  environment: Environment;
  membership: FleetMembership;
  versions: VersionExchange;
  /** Between two probes of this VM. */
  periodMs?: number;
}

/** One VM's side of the failure detector. */
export class Prober {
  readonly summaries: ShardSummaries;
  readonly #environment: Environment;
  readonly #membership: FleetMembership;
  readonly #versions: VersionExchange;
  readonly #periodMs: number;
  readonly #rotation: MemberRotation;
  readonly #stopped = new AbortController();
  #pauseCount = 0;
  #urgentAt = -Infinity;
  readonly #ownSuspects = new Set<VmId>();

  constructor(options: ProberOptions) {
    this.#environment = options.environment;
    this.#membership = options.membership;
    this.#versions = options.versions;
    this.#periodMs = options.periodMs ?? PERIOD_MS;
    this.summaries = ShardSummaries.create(options.environment.clock);
    this.#rotation = MemberRotation.create(options.environment.random);
  }

  static create(options: ProberOptions): Prober {
    return new Prober(options);
  }

  /** Starts the task that probes one member in each period. */
  start(): void {
    this.#versions.onNewVersion(() => this.#probeSome(FAN_OUT));
    this.#membership.onUrgentNews(() => this.#sendUrgentNews());
    this.#membership.onPause(() => {
      this.#pauseCount += 1;
      void this.#updateView();
    });
    void this.#runPeriods();
  }

  stop(): void {
    this.#stopped.abort();
  }

  /** Lets the fleet know of a shard that this VM owns. */
  announceSummary(summary: ShardSummary): void {
    if (this.summaries.put(summary)) {
      this.#membership.gossip.putSummary(summary);
    }
  }

  /** Announces at once that this VM drains. */
  startDraining(): void {
    this.#membership.startDraining();
  }

  /** Answers a probe, with this VM's own news. */
  answerProbe(call: ProbeCall): ProbeAnswer {
    this.#handleMessage(call);
    const { listAgeMs: _, ...versions } = call;
    // How long the call was on its way is unknown, so its ages say nothing.
    void this.#versions.notePeerVersions(call.from.vm, versions);
    return this.#buildMessage(call.from.vm);
  }

  /** Probes `target` on behalf of a VM that got no answer itself. */
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
      this.summaries.removeOld();
      await periodOver;
    }
  }

  async #probeMember(target: VmId): Promise<void> {
    const pauseCount = this.#pauseCount;
    if (await this.#probeDirect(target)) return;
    if (await this.#probeIndirect(target)) return;
    // After a pause of this VM the timeouts ran out while nobody listened:
    // the silence was its own, and a whole fleet would fall under suspicion.
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
    const askedAt = clock.now();
    const probe = peers.getPeer(target).probe(this.#buildMessage(target));
    const isAnswered = probe.then(
      (answer) => this.#handleAnswer(target, answer, askedAt) !== undefined,
      () => false,
    );
    const result = await withTimeout(isAnswered, PROBE_TIMEOUT_MS, clock);
    return result ?? false;
  }

  async #probeIndirect(target: VmId): Promise<boolean> {
    const { clock, peers } = this.#environment;
    const others = this.#listMembers().filter((vm) => vm !== target);
    const helpers = this.#environment.random.pickSome(others, INDIRECT_PROBES);
    if (helpers.length === 0) return false;
    const asked = helpers.map(async (helper) => {
      const call = this.#buildMessage(helper);
      const isAnswered = await peers.getPeer(helper).probeVia(target, call);
      if (!isAnswered) throw new Error("No answer through this VM");
      return true;
    });
    const anyAnswer = Promise.any(asked).catch(() => false);
    return await withTimeout(anyAnswer, INDIRECT_TIMEOUT_MS, clock) ?? false;
  }

  /** The versions being fetched; undefined for another VM's answer. */
  #handleAnswer(
    target: VmId,
    answer: ProbeAnswer,
    askedAt: number,
  ): Promise<void> | undefined {
    // Another VM may have the address by now; its answer is not the target's.
    if (answer.from.vm !== target) return undefined;
    this.#handleMessage(answer);
    const elapsedMs = this.#environment.clock.now() - askedAt;
    const listAgeMs = answer.listAgeMs === undefined
      ? undefined
      : answer.listAgeMs + elapsedMs;
    const versions = { ...answer, listAgeMs };
    return this.#versions.notePeerVersions(target, versions);
  }

  #handleMessage(message: ProbeCall): void {
    this.#membership.noteContact(message);
    this.#membership.noteNews(message.members);
    for (const summary of message.summaries) {
      const isNews = summary.owner !== this.#environment.vm &&
        this.summaries.put(summary);
      if (isNews) this.#membership.gossip.putSummary(summary);
    }
  }

  #buildMessage(to: VmId): ProbeCall {
    const memberCount = this.#membership.listEntryVms().length;
    const { members, summaries } = this.#membership.gossip.take(memberCount);
    // Whom this VM doubts must hear of it to be able to refute it.
    const doubt = this.#membership.findSuspicion(to);
    const others = members.filter((news) => news.vm !== to);
    return {
      ...this.#membership.getSelfReport(),
      ...this.#versions.getVersions(),
      members: doubt === undefined ? members : [doubt, ...others],
      summaries,
    };
  }

  #applySuspicions(): void {
    if (this.#membership.isRecovering()) return;
    const memberCount = this.#membership.listEntryVms().length;
    const periods = Math.max(
      LEAST_SUSPICION_PERIODS,
      Math.log2(memberCount + 1),
    );
    const dead = this.#membership.applySuspicionTimeout(
      periods * this.#periodMs,
    );
    for (const vm of dead) {
      this.#environment.log.warn("member_dead", { peer: vm });
    }
  }

  /** VMs to probe in turn: all others that do not count as dead. */
  #listMembers(): VmId[] {
    return this.#listOthers().filter((vm) => this.#membership.isReachable(vm));
  }

  #listOthers(): VmId[] {
    const ids = this.#membership.listEntryVms().map((vm) => vm.id);
    return ids.filter((vm) => vm !== this.#environment.vm);
  }

  /**
   * After a partition both sides hold each other for dead. Without a probe
   * now and then neither would ever find out that the link is mended.
   */
  #probeDead(): void {
    const dead = this.#listOthers().filter((vm) =>
      !this.#membership.isReachable(vm)
    );
    const target = this.#environment.random.pick(dead);
    if (target !== undefined) void this.#probeDirect(target);
  }

  /**
   * A suspect that is well hears of it only by a message that is not lost.
   * Whoever suspects goes on trying, or lost messages would make dead VMs.
   */
  #probeSuspects(): void {
    for (const vm of this.#ownSuspects) {
      const doubt = this.#membership.findSuspicion(vm);
      if (doubt?.state === "suspect") void this.#probeDirect(vm);
      else this.#ownSuspects.delete(vm);
    }
  }

  #sendUrgentNews(): void {
    const now = this.#environment.clock.now();
    if (now - this.#urgentAt < URGENT_EVERY_MS) return;
    this.#urgentAt = now;
    this.#probeSome(FAN_OUT);
  }

  #probeSome(count: number): void {
    if (this.#stopped.signal.aborted) return;
    for (
      const vm of this.#environment.random.pickSome(this.#listMembers(), count)
    ) {
      void this.#probeDirect(vm);
    }
  }

  /** After a pause: hear of the fleet before acting as an owner again. */
  async #updateView(): Promise<void> {
    const pauseCount = this.#pauseCount;
    for (let round = 0; round < REFRESH_ROUNDS; round += 1) {
      const others = this.#environment.random.pickSome(
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

  /** A probe that waits until what `target` has newer was fetched as well. */
  async #probeAndFetch(target: VmId): Promise<boolean> {
    const { clock, peers } = this.#environment;
    const askedAt = clock.now();
    const probe = peers.getPeer(target).probe(this.#buildMessage(target));
    const isFetched = probe.then(async (answer) => {
      const fetched = this.#handleAnswer(target, answer, askedAt);
      if (fetched === undefined) return false;
      await fetched;
      return true;
    }, () => false);
    const result = await withTimeout(isFetched, REFRESH_TIMEOUT_MS, clock);
    return result ?? false;
  }
}
