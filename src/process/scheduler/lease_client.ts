/**
 * The entry VM's way to slots: waits in the queue of a shard's owner, or takes
 * from this VM's own share while no owner answers.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { ShardId, TicketId, VmId } from "../../ids.ts";
import { toId } from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { RequestStep } from "../../request/request_status.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import { getClassRank, type Snapshot } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type {
  AcquireAnswer,
  PeerApi,
  ShardSummary,
  SlotLease,
} from "../peer_api.ts";
import { type HeldLease, type LeaseRequest, LeaseSource } from "../services.ts";
import { HeldSlot } from "./held_slot.ts";
import { LeaseSyncs } from "./lease_syncs.ts";
import { LocalSlots } from "./local_slots.ts";
import { ANSWER_MARGIN_MS, HOLD_MS, OwnerClient } from "./owner_client.ts";
import { chooseShard } from "./shard_choice.ts";
import {
  type AcquireOptions,
  buildCancelled,
  buildLocalWish,
  buildNoUpstream,
  buildUnreachable,
  type SlotWait,
} from "./slot_wait.ts";

/** Silence of an owner after which the VM's own share is used: one call. */
const OWNER_SILENCE_MS = HOLD_MS + ANSWER_MARGIN_MS;
/** A call that takes so much longer than it may was held up by a pause. */
const PAUSE_MARGIN_MS = 500;
/** How long a request waits for a place in the VM's own share. */
const LOCAL_WAIT_MS = 2_000;
/** Between two tries while no owner answers. */
const RETRY_MS = 100;
/** Shards that a request is passed on to at most. */
const MAX_HOPS = 3;

/** What the client is made of. */
export interface LeaseClientOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** This VM's own answers, for shards that it owns itself. */
  getLocal: () => PeerApi;
  /** What the owner of a shard last let the fleet know of it. */
  findSummary?: (shard: ShardId) => ShardSummary | undefined;
  /** Hears that an upstream said in an answer that it leaves. */
  onUpstreamLeaving?: (upstream: VmId) => void;
}

/** Acquires slots from the owners of shards. */
export class LeaseClient extends LeaseSource {
  readonly #options: LeaseClientOptions;
  readonly #environment: Environment;
  readonly #calls: OwnerClient;
  readonly #syncs: LeaseSyncs;
  readonly #local: LocalSlots;
  readonly #stopped = new AbortController();
  readonly #prefix: string;
  #tickets = 0;

  constructor(options: LeaseClientOptions) {
    super();
    this.#options = options;
    this.#environment = options.environment;
    const { vm, random } = options.environment;
    this.#prefix = `${vm}.${random.nextHex(8)}`;
    this.#calls = OwnerClient.create({
      environment: options.environment,
      membership: options.membership,
      getLocal: options.getLocal,
    });
    this.#syncs = LeaseSyncs.create(options);
    this.#local = LocalSlots.create(options);
    options.membership.onChange(() => this.#onMembershipChange());
  }

  static create(options: LeaseClientOptions): LeaseClient {
    return new LeaseClient(options);
  }

  /** Starts to renew and return leases. */
  start(): void {
    void this.#syncs.run(this.#stopped.signal);
  }

  stop(): void {
    this.#stopped.abort();
  }

  override async acquire(
    request: LeaseRequest,
    options: AcquireOptions,
  ): Promise<HeldLease> {
    const wait = this.#buildWait(request, options);
    this.#local.addWaiting(wait.shard, wait.rank);
    try {
      return await this.#waitForSlot(wait);
    } finally {
      this.#local.removeWaiting(wait.shard, wait.rank);
    }
  }

  async #waitForSlot(wait: SlotWait): Promise<HeldLease> {
    const { clock } = this.#environment;
    while (true) {
      this.#checkCancelled(wait);
      const askedAt = clock.now();
      const answer = await this.#calls.acquire({
        ...wait,
        signal: wait.options.signal,
        // While the owner is silent a call only tests whether it is back.
        holdMs: wait.silentSince === undefined ? HOLD_MS : 0,
      });
      // A grant is taken even when the caller has gone: it must be returned.
      if (answer?.kind === "granted") {
        return this.#openSlot(wait, answer.lease, askedAt);
      }
      this.#checkCancelled(wait);
      if (answer === undefined || answer.kind === "not_owner") {
        const local = await this.#waitWithoutOwner(wait, askedAt);
        if (local !== undefined) return local;
        continue;
      }
      wait.silentSince = undefined;
      this.#applyAnswer(wait, answer);
    }
  }

  #applyAnswer(
    wait: SlotWait,
    answer: Exclude<AcquireAnswer, { kind: "granted" | "not_owner" }>,
  ): void {
    match(answer)
      .with({ kind: "queued" }, ({ ahead, behind, expectedMs }) => {
        wait.queuedCount++;
        // Each answer is a step at first, then ever fewer: a long wait would
        // fill the request's record.
        if (!isPowerOfTwo(wait.queuedCount)) return;
        const order = behind === "" ? "" : ` (${behind})`;
        this.#noteStep(wait, "queued", {
          detail: `${ahead} ahead${order} in ${wait.shard}, ` +
            `expected wait ${expectedMs} ms`,
        });
      })
      .with({ kind: "pass_on" }, ({ shard }) => {
        // Past the bound the same shard is asked again; it does not pass a
        // ticket on twice.
        if (wait.hops >= MAX_HOPS) return;
        wait.hops++;
        this.#noteStep(wait, "passed_on", {
          detail: `from ${wait.shard} to ${shard}, which serves a lower tier`,
        });
        this.#setShard(wait, shard);
      })
      .with({ kind: "refused" }, ({ refusal }) => {
        if (refusal.code !== "cancelled") throw new RefusalError(refusal);
        this.#renewTicket(wait);
      })
      .exhaustive();
  }

  /**
   * Goes on with a new ticket. The owner closes a ticket whose grant lapsed
   * before this VM took it up, as when this process was paused. The caller
   * still waits: it would be told that it had gone away. The request's age
   * keeps its place in the queue.
   */
  #renewTicket(wait: SlotWait): void {
    wait.ticket = this.#createTicket();
  }

  #setShard(wait: SlotWait, shard: ShardId): void {
    this.#local.removeWaiting(wait.shard, wait.rank);
    this.#local.addWaiting(shard, wait.rank);
    wait.shard = shard;
  }

  /**
   * No owner answers, or none knows that it is. Tries again shortly, and after
   * a bounded silence uses this VM's own share of the shard.
   */
  async #waitWithoutOwner(
    wait: SlotWait,
    askedAt: number,
  ): Promise<HeldLease | undefined> {
    const { clock } = this.#environment;
    const now = clock.now();
    // A process that was paused finds its call unanswered when it wakes, though
    // the owner was never silent: it would refuse, or use its own share, at
    // once. A call that took longer than it may tells of the pause.
    const wasPaused = now - askedAt > OWNER_SILENCE_MS + PAUSE_MARGIN_MS;
    if (wasPaused) wait.silentSince = now;
    wait.silentSince ??= askedAt;
    const silentMs = now - wait.silentSince;
    if (silentMs >= OWNER_SILENCE_MS) {
      const slot = this.#takeLocal(wait);
      if (slot !== undefined) return slot;
      const mayWait = silentMs < OWNER_SILENCE_MS + LOCAL_WAIT_MS;
      if (!mayWait || !this.#local.hasShare(buildLocalWish(wait))) {
        this.#cancelTicket(wait);
        throw new RefusalError(buildUnreachable());
      }
    }
    await clock.sleep(RETRY_MS, wait.options.signal);
    return undefined;
  }

  #takeLocal(wait: SlotWait): HeldLease | undefined {
    const slot = this.#local.take(buildLocalWish(wait));
    if (slot === undefined) return undefined;
    this.#cancelTicket(wait);
    // The owner releases whatever it has granted to a withdrawn ticket; the
    // local slot must not be taken for that.
    this.#renewTicket(wait);
    this.#environment.log.warn("local_share_used", {
      request: wait.request.requestId,
      shard: wait.shard,
      peer: slot.upstream,
    });
    return this.#openSlot(wait, slot, this.#environment.clock.now());
  }

  #openSlot(wait: SlotWait, slot: SlotLease, askedAt: number): HeldLease {
    const { request } = wait;
    const sync = this.#syncs.get(slot.shard);
    const held = HeldSlot.create({
      clock: this.#environment.clock,
      slot,
      ticket: wait.ticket,
      className: request.className,
      workspace: request.workspace,
      idempotent: request.idempotent,
      promptTokens: request.promptTokens,
      askedAt,
      onRelease: (released) => {
        if (!released.byOwner) this.#local.release(released);
        sync.addReturn(released);
      },
      onSignals: (signals) => this.#noteSignals(slot.upstream, signals),
    });
    sync.add(held);
    return held;
  }

  #noteSignals(upstream: VmId, signals: UpstreamSignals): void {
    this.#local.noteSignals(upstream, signals);
    if (signals.isLeaving) this.#options.onUpstreamLeaving?.(upstream);
  }

  #cancelTicket(wait: SlotWait): void {
    this.#syncs.get(wait.shard).addWithdrawn(wait.ticket);
  }

  #checkCancelled(wait: SlotWait): void {
    if (!wait.options.signal.aborted) return;
    this.#cancelTicket(wait);
    throw new RefusalError(buildCancelled());
  }

  #buildWait(request: LeaseRequest, options: AcquireOptions): SlotWait {
    const { membership, getSnapshot, findSummary } = this.#options;
    const snapshot = getSnapshot();
    const pool = snapshot?.pools.get(request.pool);
    const shard = pool && chooseShard(request, {
      pool,
      upstreams: membership.listUpstreams(pool.name),
      findSummary: findSummary ?? (() => undefined),
    });
    if (snapshot === undefined || pool === undefined || shard === undefined) {
      throw new RefusalError(buildNoUpstream(request));
    }
    return {
      request,
      options,
      pool,
      shard,
      ticket: this.#createTicket(),
      rank: getClassRank(snapshot, request.className),
      hops: 0,
      queuedCount: 0,
      silentSince: undefined,
    };
  }

  #createTicket(): TicketId {
    return toId<TicketId>(`${this.#prefix}.${this.#tickets++}`);
  }

  #noteStep(
    wait: SlotWait,
    step: RequestStep["step"],
    fields: { detail: string },
  ): void {
    const ageMs = this.#environment.clock.now() - wait.request.arrivedAt;
    const peer: VmId | undefined = this.#calls.findOwner(wait.shard);
    const detail = fields.detail;
    wait.options.onStep(
      peer === undefined ? { step, ageMs, detail } : {
        step,
        ageMs,
        peer,
        detail,
      },
    );
  }

  #onMembershipChange(): void {
    if (this.#stopped.signal.aborted) return;
    this.#local.dropUnlisted();
    this.#calls.onMembershipChange();
    this.#syncs.announceToNewOwners();
  }
}

function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}
