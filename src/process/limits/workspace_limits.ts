/**
 * Limits of workspaces on requests and tokens per minute, enforced fleet-wide
 * without shared state.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { WorkspaceName } from "../../ids.ts";
import { RefusalError } from "../../outcome.ts";
import type { Snapshot, Workspace } from "../../version/records.ts";
import type { CancelTimer } from "../clock.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type { LimitAnswer, LimitCall, PeerApi } from "../peer_api.ts";
import { LimitSource } from "../services.ts";
import { LimitClient } from "./limit_client.ts";
import { LimitOwner, toLimitKey } from "./limit_owner.ts";

/** Interval of dropping idle state and of checking for a pause. */
const TICK_MS = 500;

/** A tick this late means that the process was paused. */
const PAUSE_MS = 1_500;

/** Options of `WorkspaceLimits`. */
export interface WorkspaceLimitsOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** Channel to this VM itself, for limits that it owns. */
  getLocal: () => PeerApi;
}

/** Admits requests against chunks leased from each limit's owner. */
export class WorkspaceLimits extends LimitSource {
  readonly #options: WorkspaceLimitsOptions;
  readonly #owner: LimitOwner;
  readonly #clients = new Map<WorkspaceName, LimitClient>();
  #cancelTick: CancelTimer;
  #tickedAt: number;
  #calls = 0;

  constructor(options: WorkspaceLimitsOptions) {
    super();
    this.#options = options;
    const { environment, membership, getSnapshot } = options;
    this.#owner = LimitOwner.create({
      vm: environment.vm,
      clock: environment.clock,
      membership,
      getSnapshot,
    });
    this.#tickedAt = environment.clock.now();
    this.#cancelTick = environment.clock.startTimer(
      TICK_MS,
      () => this.#onTick(),
    );
  }

  /** Starts its timer; `close` stops it. */
  static create(options: WorkspaceLimitsOptions): WorkspaceLimits {
    return new WorkspaceLimits(options);
  }

  /** Buckets, limit clients and calls to owners so far, for metrics. */
  get stats(): { buckets: number; held: number; calls: number } {
    return {
      buckets: this.#owner.size,
      held: this.#clients.size,
      calls: this.#calls,
    };
  }

  override async admit(
    workspace: WorkspaceName,
    tokens: number,
  ): Promise<void> {
    const record = this.#findWorkspace(workspace);
    await this.#getClient(workspace).admit(record, Math.max(0, tokens));
  }

  override settle(
    workspace: WorkspaceName,
    counts: { estimated: number; actual: number },
  ): void {
    if (this.#options.getSnapshot()?.workspaces.has(workspace) !== true) return;
    this.#getClient(workspace).settle(counts.estimated - counts.actual);
  }

  /** Answers another VM, or this one, as the owner of a limit. */
  answerLeaseLimit(call: LimitCall): LimitAnswer {
    this.#notePause();
    return this.#owner.answer(call);
  }

  close(): void {
    this.#cancelTick();
  }

  #findWorkspace(workspace: WorkspaceName): Workspace {
    const record = this.#options.getSnapshot()?.workspaces.get(workspace);
    if (record !== undefined) return record;
    throw new RefusalError({
      code: "forbidden",
      message: `Workspace ${workspace} is not in the configuration`,
      outcome: "not_run",
    });
  }

  #getClient(workspace: WorkspaceName): LimitClient {
    const known = this.#clients.get(workspace);
    if (known !== undefined) return known;
    const client = LimitClient.create({
      clock: this.#options.environment.clock,
      countEntryVms: () => this.#options.membership.listEntryVms().length,
      fetchChunk: (amount) => this.#fetchChunk(workspace, amount),
    });
    this.#clients.set(workspace, client);
    return client;
  }

  async #fetchChunk(
    workspace: WorkspaceName,
    amount: { requests: number; tokens: number },
  ): Promise<LimitAnswer | undefined> {
    const { environment, membership, getLocal } = this.#options;
    const { vm, incarnation, peers, log } = environment;
    const owner = membership.findOwner(toLimitKey(workspace));
    if (owner === undefined) return undefined;
    const peer = owner === vm ? getLocal() : peers.getPeer(owner);
    this.#calls += 1;
    try {
      const from = { vm, incarnation };
      const answer = await peer.leaseLimit({ from, workspace, ...amount });
      return answer.isOwner ? answer : undefined;
    } catch (thrown) {
      const error = toError(thrown).message;
      log.debug("limit_owner_silent", { workspace, peer: owner, error });
      return undefined;
    }
  }

  #onTick(): void {
    const { clock } = this.#options.environment;
    this.#notePause();
    this.#owner.dropIdle();
    for (const [workspace, client] of this.#clients) {
      if (client.isIdle()) this.#clients.delete(workspace);
    }
    this.#tickedAt = clock.now();
    this.#cancelTick = clock.startTimer(TICK_MS, () => this.#onTick());
  }

  /**
   * Clears the buckets after a pause, which a late tick shows. A paused VM
   * still considers itself the owner of its limits when it wakes up, and its
   * buckets would have refilled over the pause while the next owner granted the
   * same time's worth.
   */
  #notePause(): void {
    const now = this.#options.environment.clock.now();
    if (now - this.#tickedAt < PAUSE_MS) return;
    this.#tickedAt = now;
    this.#owner.clear();
  }
}
