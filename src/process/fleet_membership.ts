/**
 * The published membership list joined with what probes found.
 *
 * @module
 */
import type { PoolName, VmId } from "../ids.ts";
import type { ListedVm, MembershipList } from "../version/index.ts";
import type { Environment } from "./environment.ts";
import { PauseDetector } from "./pause_detector.ts";
import { MemberStates, type SelfReport } from "./member_states.ts";
import { MemberGossip } from "./member_gossip.ts";
import { MembershipView } from "./membership_view.ts";
import type { MemberUpdate } from "./peer_api.ts";
import { computeRendezvousOrder } from "./rendezvous.ts";
import { UpstreamNotices } from "./upstream_notices.ts";

const MAX_CACHED_ORDERS = 10_000;

/** What a membership starts with. */
export interface FleetMembershipOptions {
  environment: Environment;
  /** This VM as it would be listed; it stands alone until a list is there. */
  self: ListedVm;
}

/** A VM's view of the fleet. */
export class FleetMembership extends MembershipView {
  readonly gossip: MemberGossip;
  readonly #environment: Environment;
  readonly #self: ListedVm;
  readonly #beliefs: MemberStates;
  readonly #pauses: PauseDetector;
  readonly #upstreamWords: UpstreamNotices;
  readonly #callbacks: (() => void)[] = [];
  readonly #urgentCallbacks: (() => void)[] = [];
  readonly #orders = new Map<string, VmId[]>();
  #list: MembershipList;
  #vms = new Map<VmId, ListedVm>();
  #entryVms: ListedVm[] = [];
  #upstreams = new Map<PoolName, ListedVm[]>();
  #listedAt: number;
  #isViewStale = false;

  constructor(options: FleetMembershipOptions) {
    super();
    const { environment, self } = options;
    this.#environment = environment;
    this.#self = self;
    this.gossip = MemberGossip.create();
    this.#upstreamWords = UpstreamNotices.create();
    this.#beliefs = MemberStates.create({
      self: { vm: environment.vm, incarnation: environment.incarnation },
      clock: environment.clock,
      onNews: (news) => this.#handleNews(news),
    });
    this.#pauses = PauseDetector.create(environment.clock);
    this.#pauses.onPause((gapMs) => this.#handlePause(gapMs));
    this.#listedAt = -Infinity;
    this.#list = { revision: 0, vms: [self] };
    this.#buildIndexes();
  }

  static create(options: FleetMembershipOptions): FleetMembership {
    return new FleetMembership(options);
  }

  /** Begins to watch for pauses of this process. */
  start(): void {
    this.#pauses.start();
  }

  stop(): void {
    this.#pauses.stop();
  }

  getList(): MembershipList {
    return this.#list;
  }

  /** Takes `list` if its revision is higher; returns whether it was. */
  applyList(list: MembershipList): boolean {
    if (list.revision <= this.#list.revision) return false;
    this.#list = list;
    this.#buildIndexes();
    this.#beliefs.removeUnlisted(new Set(this.#vms.keys()));
    this.#upstreamWords.removeUnlisted(new Set(this.#vms.keys()));
    this.#announceChange();
    return true;
  }

  /**
   * Notes that `revision` was the newest published, `ageMs` ago; returns
   * whether that is fresher than what was known.
   */
  noteListCurrent(revision: number, ageMs: number): boolean {
    if (revision !== this.#list.revision) return false;
    const at = this.#environment.clock.now() - ageMs;
    if (at <= this.#listedAt) return false;
    this.#listedAt = at;
    return true;
  }

  /**
   * Time since the list was last known to be the newest published, by the
   * platform's word, at first or at second hand; infinite before that.
   */
  getViewAgeMs(): number {
    return this.#environment.clock.now() - this.#listedAt;
  }

  findVm(vm: VmId): ListedVm | undefined {
    return this.#vms.get(vm);
  }

  listEntryVms(): ListedVm[] {
    return this.#entryVms;
  }

  listUpstreams(pool: PoolName): ListedVm[] {
    const listed = this.#upstreams.get(pool) ?? [];
    return listed.filter((vm) => !this.#upstreamWords.isLeaving(vm.id));
  }

  /** Takes in an upstream's own word, so old, on whether it is leaving. */
  noteUpstreamLeaving(vm: VmId, isLeaving = true, ageMs = 0): void {
    const saidAt = this.#environment.clock.now() - ageMs;
    const news = this.#upstreamWords.noteWord(vm, isLeaving, saidAt);
    if (news !== undefined) this.#handleNews(news);
  }

  isReachable(vm: VmId): boolean {
    if (vm === this.#self.id) return !this.isRecovering();
    return !this.#beliefs.isDead(vm);
  }

  isDraining(vm: VmId): boolean {
    if (this.#beliefs.isDraining(vm)) return true;
    return this.#vms.get(vm)?.state === "leaving";
  }

  findOwner(key: string): VmId | undefined {
    return this.listOwnerOrder(key).find((vm) =>
      this.isReachable(vm) && !this.isDraining(vm)
    );
  }

  findListedOwner(key: string): VmId | undefined {
    const order = this.listOwnerOrder(key);
    return order.find((vm) => this.#vms.get(vm)?.state === "live");
  }

  /** Every listed entry VM in rendezvous order for `key`. */
  listOwnerOrder(key: string): readonly VmId[] {
    const cached = this.#orders.get(key);
    if (cached !== undefined) return cached;
    const ids = this.#entryVms.map((vm) => vm.id);
    const order = computeRendezvousOrder(key, ids);
    if (this.#orders.size >= MAX_CACHED_ORDERS) this.#orders.clear();
    this.#orders.set(key, order);
    return order;
  }

  onChange(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  /** Calls `callback` when others should know of a change at once. */
  onUrgentNews(callback: () => void): void {
    this.#urgentCallbacks.push(callback);
  }

  /** Calls `callback` with the length of each pause of this process. */
  onPause(callback: (gapMs: number) => void): void {
    this.#pauses.onPause(callback);
  }

  /**
   * Whether this process was paused and has not heard of the fleet since. It
   * is the owner of nothing then.
   */
  isRecovering(): boolean {
    this.#pauses.check();
    return this.#isViewStale;
  }

  /** Ends the distrust after a pause: others were heard, or none is there. */
  noteViewRefreshed(): void {
    if (!this.#isViewStale) return;
    this.#isViewStale = false;
    this.#announceChange();
  }

  /** Announces that this VM takes nothing new. */
  startDraining(): void {
    this.#beliefs.startDraining();
  }

  /** What this VM tells of itself in each message. */
  getSelfReport(): SelfReport {
    return this.#beliefs.getOwn();
  }

  /** What is believed of `vm`, unless it simply counts as alive. */
  findSuspicion(vm: VmId): MemberUpdate | undefined {
    return this.#beliefs.findDoubt(vm);
  }

  /** Takes in what an entry VM said of itself just now. */
  noteContact(contact: SelfReport): void {
    if (this.#vms.has(contact.from.vm)) this.#beliefs.noteContact(contact);
  }

  /** Takes in what another VM passed on. */
  noteNews(news: readonly MemberUpdate[]): void {
    for (const one of news) {
      const role = this.#vms.get(one.vm)?.role;
      if (role === "entry") this.#beliefs.noteNews(one);
      if (role === "upstream") this.#noteUpstreamNews(one);
    }
  }

  /** Notes that `vm` answered no probe, direct or through others. */
  noteProbeFailure(vm: VmId): void {
    if (this.#vms.has(vm)) this.#beliefs.noteSilence(vm);
  }

  /** Declares dead whom nobody cleared within `suspicionMs`. */
  applySuspicionTimeout(suspicionMs: number): VmId[] {
    return this.#beliefs.applySuspicions(suspicionMs);
  }

  #noteUpstreamNews(news: MemberUpdate): void {
    const now = this.#environment.clock.now();
    if (this.#upstreamWords.noteNews(news, now)) this.#handleNews(news);
  }

  #handleNews(news: MemberUpdate): void {
    this.gossip.putNews(news);
    this.#announceChange();
    const isGone = news.state === "dead" || news.state === "draining";
    if (!isGone && news.vm !== this.#self.id) return;
    for (const callback of this.#urgentCallbacks) callback();
  }

  #handlePause(gapMs: number): void {
    this.#environment.log.warn("paused", { gap_ms: Math.round(gapMs) });
    this.#isViewStale = true;
    this.#beliefs.resumeSuspicions();
    this.gossip.clear();
    this.#announceChange();
  }

  #buildIndexes(): void {
    this.#orders.clear();
    this.#vms = new Map(this.#list.vms.map((vm) => [vm.id, vm]));
    this.#entryVms = this.#list.vms.filter((vm) => vm.role === "entry");
    this.#upstreams = new Map();
    for (const vm of this.#list.vms) {
      if (vm.role !== "upstream" || vm.pool === undefined) continue;
      if (vm.state !== "live") continue;
      const pool = this.#upstreams.get(vm.pool) ?? [];
      pool.push(vm);
      this.#upstreams.set(vm.pool, pool);
    }
  }

  #announceChange(): void {
    for (const callback of this.#callbacks) callback();
  }
}
