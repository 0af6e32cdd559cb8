/**
 * Calls for a slot to whichever VM owns a shard now.
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

/** How long the owner may hold a call, in milliseconds. */
export const HOLD_MS = 1_000;
/** Beyond the hold, how long an answer may take, in milliseconds. */
export const ANSWER_MARGIN_MS = 500;
/** Answers `not_owner` that are followed in one call. */
const MAX_REDIRECTS = 1;

/** What the calls need. */
export interface OwnerClientOptions {
  environment: Environment;
  membership: MembershipView;
  getLocal: () => PeerApi;
}

/** One ticket's call. */
export interface TicketCall {
  request: LeaseRequest;
  ticket: TicketId;
  shard: ShardId;
  signal: AbortSignal;
  /** How long the owner may hold the call. */
  holdMs: number;
}

interface OpenCall {
  shard: ShardId;
  owner: VmId;
  giveUp: () => void;
}

/**
 * Sends acquire calls and gives them up when the owner changes. A grant that
 * comes after its call was given up is dropped here: the ticket's next call
 * gets the same lease again, and a ticket that is withdrawn gives it back.
 */
export class OwnerClient {
  readonly #options: OwnerClientOptions;
  readonly #open = new Set<OpenCall>();

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
   * One call to the owner. Undefined when no owner is known, it did not answer
   * in time, or another VM is the owner by now.
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

  /** Gives up calls whose owner has changed, so that nobody waits them out. */
  onMembershipChange(): void {
    for (const open of [...this.#open]) {
      if (this.findOwner(open.shard) !== open.owner) open.giveUp();
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
        this.#open.delete(open);
        call.signal.removeEventListener("abort", giveUp);
        resolve(answer);
      };
      const giveUp = () => end(undefined);
      const limitMs = call.holdMs + ANSWER_MARGIN_MS;
      const cancelTimer = clock.startTimer(limitMs, giveUp);
      const open: OpenCall = { shard: call.shard, owner, giveUp };
      this.#open.add(open);
      call.signal.addEventListener("abort", giveUp, { once: true });
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

  /** The call with the ages as they are now. */
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
