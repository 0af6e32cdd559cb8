/**
 * Sends acquire calls to the current owner of a shard.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { ShardId, TicketId, VmId } from "../../ids.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type { AcquireAnswer, AcquireCall, PeerApi } from "../peer_api.ts";
import type { LeaseRequest } from "../services.ts";
import { buildShardKey } from "./shards.ts";

/** Maximum time that the owner holds a call, in milliseconds. */
export const HOLD_MS = 1_000;
/** Time for the answer to arrive after the hold time, in milliseconds. */
export const ANSWER_MARGIN_MS = 500;
/** Maximum number of `not_owner` redirects followed in one call. */
const MAX_REDIRECTS = 1;

/** Options of an `OwnerClient`. */
export interface OwnerClientOptions {
  environment: Environment;
  membership: MembershipView;
  getLocal: () => PeerApi;
}

/** An acquire call of one ticket. */
export interface TicketCall {
  request: LeaseRequest;
  ticket: TicketId;
  shard: ShardId;
  signal: AbortSignal;
  /** Maximum time that the owner holds the call, in milliseconds. */
  holdMs: number;
}

interface OpenCall {
  shard: ShardId;
  owner: VmId;
  cancel: () => void;
}

/**
 * Sends acquire calls and cancels them when the owner changes. A grant that
 * arrives after the cancellation is ignored: the ticket's next call gets the
 * same lease again, and withdrawing the ticket releases it.
 */
export class OwnerClient {
  readonly #options: OwnerClientOptions;
  readonly #openCalls = new Set<OpenCall>();

  constructor(options: OwnerClientOptions) {
    this.#options = options;
  }

  static create(options: OwnerClientOptions): OwnerClient {
    return new OwnerClient(options);
  }

  findOwner(shard: ShardId): VmId | undefined {
    return this.#options.membership.findOwner(buildShardKey(shard));
  }

  /**
   * Calls the owner. Resolves to undefined if no owner is known or the call
   * timed out, failed or was cancelled.
   */
  async acquire(call: TicketCall): Promise<AcquireAnswer | undefined> {
    let owner = this.findOwner(call.shard);
    for (let redirects = 0; owner !== undefined; redirects++) {
      const answer = await this.#send(owner, call);
      if (answer?.kind !== "not_owner") return answer;
      const next = answer.owner;
      if (next === undefined || next === owner) return answer;
      if (redirects >= MAX_REDIRECTS || call.signal.aborted) return answer;
      owner = next;
    }
    return undefined;
  }

  /** Cancels open calls to VMs that no longer own the shard. */
  onMembershipChange(): void {
    for (const open of [...this.#openCalls]) {
      if (this.findOwner(open.shard) !== open.owner) open.cancel();
    }
  }

  #send(owner: VmId, call: TicketCall): Promise<AcquireAnswer | undefined> {
    const { clock } = this.#options.environment;
    return new Promise((resolve) => {
      let isOpen = true;
      const end = (answer: AcquireAnswer | undefined) => {
        if (!isOpen) return;
        isOpen = false;
        cancelTimer();
        this.#openCalls.delete(open);
        call.signal.removeEventListener("abort", cancel);
        resolve(answer);
      };
      const cancel = () => end(undefined);
      const limitMs = call.holdMs + ANSWER_MARGIN_MS;
      const cancelTimer = clock.startTimer(limitMs, cancel);
      const open: OpenCall = { shard: call.shard, owner, cancel };
      this.#openCalls.add(open);
      call.signal.addEventListener("abort", cancel, { once: true });
      this.#getPeer(owner).acquire(this.#buildCall(call)).then(
        end,
        (thrown) => {
          this.#options.environment.log.debug("acquire_failed", {
            shard: call.shard,
            peer: owner,
            error: toError(thrown).message,
          });
          end(undefined);
        },
      );
    });
  }

  #getPeer(owner: VmId): PeerApi {
    const { environment, getLocal } = this.#options;
    return owner === environment.vm
      ? getLocal()
      : environment.peers.getPeer(owner);
  }

  /** Builds the call with current ages. */
  #buildCall(call: TicketCall): AcquireCall {
    const { vm, incarnation, clock } = this.#options.environment;
    const now = clock.now();
    const { arrivedAt, deadlineAt, ...request } = call.request;
    return {
      from: { vm, incarnation },
      shard: call.shard,
      ticket: call.ticket,
      requestId: request.requestId,
      workspace: request.workspace,
      className: request.className,
      model: request.model,
      adapter: request.adapter,
      ageMs: now - arrivedAt,
      deadlineInMs: deadlineAt - now,
      promptTokens: request.promptTokens,
      maxTokens: request.maxTokens,
      doneTokens: request.doneTokens,
      idempotent: request.idempotent,
      prefixes: request.prefixes,
      avoid: request.avoid,
      holdMs: call.holdMs,
    };
  }
}
