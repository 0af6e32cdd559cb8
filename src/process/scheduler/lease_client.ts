/**
 * Acquires slots for an entry VM from shard owners. While a shard's owner is
 * unreachable, it uses this VM's local share of the shard's slots.
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
  buildCancelledRefusal,
  buildLocalRequirements,
  buildNoUpstreamRefusal,
  buildUnreachableRefusal,
  type SlotWait,
} from "./slot_wait.ts";

/**
 * Time without an answer from the owner after which the local share is used:
 * the longest duration of one call.
 */
const OWNER_TIMEOUT_MS = HOLD_MS + ANSWER_MARGIN_MS;
/** A call that exceeds its time-out by this much indicates a paused process. */
const PAUSE_MARGIN_MS = 500;
/** How long a request waits for a slot of the local share. */
const MAX_LOCAL_WAIT_MS = 2_000;
/** Time between two attempts while no owner answers. */
const RETRY_INTERVAL_MS = 100;
const MAX_FORWARDS = 3;

/** Options of a `LeaseClient`. */
export interface LeaseClientOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** The API of this VM itself, used for shards that it owns. */
  getLocal: () => PeerApi;
  /** Finds the latest summary that a shard's owner has published. */
  findSummary?: (shard: ShardId) => ShardSummary | undefined;
  /** Called when an upstream's response announces that it is leaving. */
  onUpstreamLeaving?: (upstream: VmId) => void;
}

/** Acquires slots from shard owners and keeps their leases renewed. */
export class LeaseClient extends LeaseSource {
  readonly #options: LeaseClientOptions;
  readonly #environment: Environment;
  readonly #ownerClient: OwnerClient;
  readonly #syncs: LeaseSyncs;
  readonly #localSlots: LocalSlots;
  readonly #stopped = new AbortController();
  readonly #ticketPrefix: string;
  #ticketCount = 0;

  constructor(options: LeaseClientOptions) {
    super();
    this.#options = options;
    this.#environment = options.environment;
    const { vm, random } = options.environment;
    this.#ticketPrefix = `${vm}.${random.nextHex(8)}`;
    this.#ownerClient = OwnerClient.create({
      environment: options.environment,
      membership: options.membership,
      getLocal: options.getLocal,
    });
    this.#syncs = LeaseSyncs.create(options);
    this.#localSlots = LocalSlots.create(options);
    options.membership.onChange(() => this.#onMembershipChange());
  }

  static create(options: LeaseClientOptions): LeaseClient {
    return new LeaseClient(options);
  }

  /** Starts renewing and returning leases. */
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
    this.#localSlots.addWaiting(wait.shard, wait.rank);
    try {
      return await this.#waitForSlot(wait);
    } finally {
      this.#localSlots.removeWaiting(wait.shard, wait.rank);
    }
  }

  async #waitForSlot(wait: SlotWait): Promise<HeldLease> {
    const { clock } = this.#environment;
    while (true) {
      this.#checkCancelled(wait);
      const requestedAt = clock.now();
      const answer = await this.#ownerClient.acquire({
        ...wait,
        signal: wait.options.signal,
        // While the owner is unreachable, a call only tests whether it answers.
        holdMs: wait.unreachableSince === undefined ? HOLD_MS : 0,
      });
      // A grant is accepted even if the caller has disconnected, because it has
      // to be returned.
      if (answer?.kind === "granted") {
        return this.#openSlot(wait, answer.lease, requestedAt);
      }
      this.#checkCancelled(wait);
      if (answer === undefined || answer.kind === "not_owner") {
        const local = await this.#waitWithoutOwner(wait, requestedAt);
        if (local !== undefined) return local;
        continue;
      }
      wait.unreachableSince = undefined;
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
        // Only answers 1, 2, 4, 8 and so on are recorded, so that a long wait
        // does not fill the request's status record.
        if (!isPowerOfTwo(wait.queuedCount)) return;
        const groups = behind === "" ? "" : ` (${behind})`;
        this.#noteStep(wait, "queued", {
          detail: `${ahead} ahead${groups} in ${wait.shard}, ` +
            `expected wait ${expectedMs} ms`,
        });
      })
      .with({ kind: "pass_on" }, ({ shard }) => {
        // Beyond the limit the request stays in its shard, which does not
        // forward a ticket twice.
        if (wait.forwardCount >= MAX_FORWARDS) return;
        wait.forwardCount++;
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
   * Replaces the ticket. If this process was paused, the owner may have closed
   * the ticket because its grant expired before this VM received it. The caller
   * is still waiting and must not get the refusal "cancelled". The request's
   * age preserves its position in the queue.
   */
  #renewTicket(wait: SlotWait): void {
    wait.ticket = this.#createTicket();
  }

  #setShard(wait: SlotWait, shard: ShardId): void {
    this.#localSlots.removeWaiting(wait.shard, wait.rank);
    this.#localSlots.addWaiting(shard, wait.rank);
    wait.shard = shard;
  }

  /**
   * Handles a call that no owner answered. Sleeps before the next attempt, or
   * takes a slot of the local share once the owner has been unreachable for
   * `OWNER_TIMEOUT_MS`. Refuses the request if the share has no slot for it.
   */
  async #waitWithoutOwner(
    wait: SlotWait,
    requestedAt: number,
  ): Promise<HeldLease | undefined> {
    const { clock } = this.#environment;
    const now = clock.now();
    // After a pause of this process the call has timed out although the owner
    // was reachable. The time without an answer then starts again, so that the
    // request is not refused and the local share is not used at once.
    const wasPaused = now - requestedAt > OWNER_TIMEOUT_MS + PAUSE_MARGIN_MS;
    if (wasPaused) wait.unreachableSince = now;
    wait.unreachableSince ??= requestedAt;
    const unreachableMs = now - wait.unreachableSince;
    if (unreachableMs >= OWNER_TIMEOUT_MS) {
      const slot = this.#takeLocal(wait);
      if (slot !== undefined) return slot;
      const mayWait = unreachableMs < OWNER_TIMEOUT_MS + MAX_LOCAL_WAIT_MS;
      if (
        !mayWait || !this.#localSlots.hasShare(buildLocalRequirements(wait))
      ) {
        this.#cancelTicket(wait);
        throw new RefusalError(buildUnreachableRefusal());
      }
    }
    await clock.sleep(RETRY_INTERVAL_MS, wait.options.signal);
    return undefined;
  }

  #takeLocal(wait: SlotWait): HeldLease | undefined {
    const slot = this.#localSlots.take(buildLocalRequirements(wait));
    if (slot === undefined) return undefined;
    this.#cancelTicket(wait);
    // The owner releases any lease of a withdrawn ticket. The local slot needs
    // a new ticket, or it would be released too.
    this.#renewTicket(wait);
    this.#environment.log.warn("local_share_used", {
      request: wait.request.requestId,
      shard: wait.shard,
      peer: slot.upstream,
    });
    return this.#openSlot(wait, slot, this.#environment.clock.now());
  }

  #openSlot(wait: SlotWait, slot: SlotLease, requestedAt: number): HeldLease {
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
      requestedAt,
      onRelease: (released) => {
        if (!released.byOwner) this.#localSlots.release(released);
        sync.addReturn(released);
      },
      onSignals: (signals) => this.#noteSignals(slot.upstream, signals),
    });
    sync.add(held);
    return held;
  }

  #noteSignals(upstream: VmId, signals: UpstreamSignals): void {
    this.#localSlots.noteSignals(upstream, signals);
    if (signals.isLeaving) this.#options.onUpstreamLeaving?.(upstream);
  }

  #cancelTicket(wait: SlotWait): void {
    this.#syncs.get(wait.shard).addWithdrawn(wait.ticket);
  }

  #checkCancelled(wait: SlotWait): void {
    if (!wait.options.signal.aborted) return;
    this.#cancelTicket(wait);
    throw new RefusalError(buildCancelledRefusal());
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
      throw new RefusalError(buildNoUpstreamRefusal(request));
    }
    return {
      request,
      options,
      pool,
      shard,
      ticket: this.#createTicket(),
      rank: getClassRank(snapshot, request.className),
      forwardCount: 0,
      queuedCount: 0,
      unreachableSince: undefined,
    };
  }

  #createTicket(): TicketId {
    return toId<TicketId>(`${this.#ticketPrefix}.${this.#ticketCount++}`);
  }

  #noteStep(
    wait: SlotWait,
    step: RequestStep["step"],
    fields: { detail: string },
  ): void {
    const ageMs = this.#environment.clock.now() - wait.request.arrivedAt;
    const peer: VmId | undefined = this.#ownerClient.findOwner(wait.shard);
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
    this.#localSlots.dropUnlisted();
    this.#ownerClient.onMembershipChange();
    this.#syncs.announceToNewOwners();
  }
}

function isPowerOfTwo(count: number): boolean {
  return (count & (count - 1)) === 0;
}
