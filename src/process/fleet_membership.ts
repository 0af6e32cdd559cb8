/**
 * The published membership list combined with the results of probes.
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

/** Options of `FleetMembership`. */
export interface FleetMembershipOptions {
  environment: Environment;
  /** This VM's own entry; the only one until a list is applied. */
  self: ListedVm;
}

/** A VM's view of the fleet, from the list, probes and gossip. */
export class FleetMembership extends MembershipView {
  readonly gossip: MemberGossip;
  readonly #environment: Environment;
  readonly #self: ListedVm;
  readonly #states: MemberStates;
  readonly #pauses: PauseDetector;
  readonly #notices: UpstreamNotices;
  readonly #changeCallbacks: (() => void)[] = [];
  readonly #urgentCallbacks: (() => void)[] = [];
  readonly #ownerOrders = new Map<string, VmId[]>();
  #list: MembershipList;
  #vms = new Map<VmId, ListedVm>();
  #entryVms: ListedVm[] = [];
  #upstreams = new Map<PoolName, ListedVm[]>();
  #listConfirmedAt: number;
  #isViewStale = false;

  constructor(options: FleetMembershipOptions) {
    super();
    const { environment, self } = options;
    this.#environment = environment;
    this.#self = self;
    this.gossip = MemberGossip.create();
    this.#notices = UpstreamNotices.create();
    this.#states = MemberStates.create({
      self: { vm: environment.vm, incarnation: environment.incarnation },
      clock: environment.clock,
      onUpdate: (update) => this.#handleUpdate(update),
    });
    this.#pauses = PauseDetector.create(environment.clock);
    this.#pauses.onPause((gapMs) => this.#handlePause(gapMs));
    this.#listConfirmedAt = -Infinity;
    this.#list = { revision: 0, vms: [self] };
    this.#buildIndexes();
  }

  static create(options: FleetMembershipOptions): FleetMembership {
    return new FleetMembership(options);
  }

  /** Starts the detection of pauses of this process. */
  start(): void {
    this.#pauses.start();
  }

  stop(): void {
    this.#pauses.stop();
  }

  getList(): MembershipList {
    return this.#list;
  }

  /** Applies `list` if its revision is higher; returns whether it was. */
  applyList(list: MembershipList): boolean {
    if (list.revision <= this.#list.revision) return false;
    this.#list = list;
    this.#buildIndexes();
    this.#states.removeUnlisted(new Set(this.#vms.keys()));
    this.#notices.removeUnlisted(new Set(this.#vms.keys()));
    this.#announceChange();
    return true;
  }

  /**
   * Records that `revision` was the newest published one `ageMs` ago; returns
   * whether that is more recent than what was known.
   */
  noteListCurrent(revision: number, ageMs: number): boolean {
    if (revision !== this.#list.revision) return false;
    const at = this.#environment.clock.now() - ageMs;
    if (at <= this.#listConfirmedAt) return false;
    this.#listConfirmedAt = at;
    return true;
  }

  /**
   * Time since the list was last known to be the newest published one, whether
   * from the platform or through another VM; infinite before that.
   */
  getViewAgeMs(): number {
    return this.#environment.clock.now() - this.#listConfirmedAt;
  }

  findVm(vm: VmId): ListedVm | undefined {
    return this.#vms.get(vm);
  }

  listEntryVms(): ListedVm[] {
    return this.#entryVms;
  }

  listUpstreams(pool: PoolName): ListedVm[] {
    const listed = this.#upstreams.get(pool) ?? [];
    return listed.filter((vm) => !this.#notices.isLeaving(vm.id));
  }

  /**
   * Records an upstream's own notice, `ageMs` old, on whether it is leaving.
   */
  noteUpstreamLeaving(vm: VmId, isLeaving = true, ageMs = 0): void {
    const reportedAt = this.#environment.clock.now() - ageMs;
    const update = this.#notices.recordNotice(vm, isLeaving, reportedAt);
    if (update !== undefined) this.#handleUpdate(update);
  }

  isReachable(vm: VmId): boolean {
    if (vm === this.#self.id) return !this.isRecovering();
    return !this.#states.isDead(vm);
  }

  isDraining(vm: VmId): boolean {
    if (this.#states.isDraining(vm)) return true;
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

  /** All listed entry VMs in rendezvous order for `key`. */
  listOwnerOrder(key: string): readonly VmId[] {
    const cached = this.#ownerOrders.get(key);
    if (cached !== undefined) return cached;
    const ids = this.#entryVms.map((vm) => vm.id);
    const order = computeRendezvousOrder(key, ids);
    if (this.#ownerOrders.size >= MAX_CACHED_ORDERS) this.#ownerOrders.clear();
    this.#ownerOrders.set(key, order);
    return order;
  }

  onChange(callback: () => void): void {
    this.#changeCallbacks.push(callback);
  }

  /** Calls `callback` when other VMs should learn of a change at once. */
  onUrgentUpdate(callback: () => void): void {
    this.#urgentCallbacks.push(callback);
  }

  /** Calls `callback` with the length of each pause of this process. */
  onPause(callback: (gapMs: number) => void): void {
    this.#pauses.onPause(callback);
  }

  /**
   * Whether this process was paused and has not received the state of the fleet
   * since. A recovering VM owns nothing.
   */
  isRecovering(): boolean {
    this.#pauses.check();
    return this.#isViewStale;
  }

  /**
   * Ends the recovery after a pause: other VMs answered, there are none, or all
   * attempts to reach them failed.
   */
  noteViewRefreshed(): void {
    if (!this.#isViewStale) return;
    this.#isViewStale = false;
    this.#announceChange();
  }

  /** Announces that this VM accepts no new work. */
  startDraining(): void {
    this.#states.startDraining();
  }

  /** What this VM reports about itself in each message. */
  getSelfReport(): SelfReport {
    return this.#states.getSelfReport();
  }

  /** The state of `vm` if it is suspected or dead. */
  findSuspicion(vm: VmId): MemberUpdate | undefined {
    return this.#states.findSuspicion(vm);
  }

  /** Applies what an entry VM just reported about itself. */
  applySelfReport(report: SelfReport): void {
    if (this.#vms.has(report.from.vm)) this.#states.applySelfReport(report);
  }

  /** Applies updates that another VM forwarded. */
  applyUpdates(updates: readonly MemberUpdate[]): void {
    for (const update of updates) {
      const role = this.#vms.get(update.vm)?.role;
      if (role === "entry") this.#states.applyUpdate(update);
      if (role === "upstream") this.#applyUpstreamUpdate(update);
    }
  }

  /** Records that `vm` answered neither a direct nor an indirect probe. */
  noteProbeFailure(vm: VmId): void {
    if (this.#vms.has(vm)) this.#states.noteProbeFailure(vm);
  }

  /**
   * Declares suspects dead that were not cleared within `suspicionMs`, and
   * returns them.
   */
  applySuspicionTimeout(suspicionMs: number): VmId[] {
    return this.#states.applySuspicionTimeout(suspicionMs);
  }

  #applyUpstreamUpdate(update: MemberUpdate): void {
    const now = this.#environment.clock.now();
    if (this.#notices.applyUpdate(update, now)) this.#handleUpdate(update);
  }

  #handleUpdate(update: MemberUpdate): void {
    this.gossip.putUpdate(update);
    this.#announceChange();
    const isGone = update.state === "dead" || update.state === "draining";
    if (!isGone && update.vm !== this.#self.id) return;
    for (const callback of this.#urgentCallbacks) callback();
  }

  #handlePause(gapMs: number): void {
    this.#environment.log.warn("paused", { gap_ms: Math.round(gapMs) });
    this.#isViewStale = true;
    this.#states.restartSuspicions();
    this.gossip.clear();
    this.#announceChange();
  }

  #buildIndexes(): void {
    this.#ownerOrders.clear();
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
    for (const callback of this.#changeCallbacks) callback();
  }
}
