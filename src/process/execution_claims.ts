/**
 * Claims that allow at most one execution of each request id, however often the
 * caller submits it.
 *
 * The VM that issued an id records which VM may execute it, and grants no other
 * claim unless that one is settled as `not_run`. So two entry VMs that cannot
 * reach each other cannot both execute a request. If the incarnation that issued
 * the id has ended or cannot be reached, nothing is executed and the outcome is
 * `unknown`.
 *
 * @module
 */
import { toError } from "../errors.ts";
import type { RequestId, VmId } from "../ids.ts";
import type { ExecutionOutcome } from "../outcome.ts";
import type { Environment } from "./environment.ts";
import type { ClaimAnswer, ClaimCall, SettleCall } from "./peer_api.ts";
import {
  formatRequestId,
  hasValidCode,
  parseRequestId,
  type RequestIdParts,
} from "./request_ids.ts";
import { ExecutionClaims } from "./services.ts";

/** Time after its issue during which an id may be submitted. */
export const ID_TTL_MS = 15 * 60_000;
/** Time after the grant of a claim during which its holder may send. */
export const CLAIM_TTL_MS = 5 * 60_000;
/** Limit on claims that one VM stores. */
const MAX_CLAIMS = 50_000;
/** Limit on stored nonces, per id, of claims settled as `not_run`. */
const MAX_ENDED_NONCES = 8;
const CLAIM_ATTEMPTS = 3;
const CLAIM_RETRY_MS = 50;
const SETTLE_ATTEMPTS = 8;
const SETTLE_RETRY_MS = 200;
const SECRET_LENGTH = 64;
const NONCE_LENGTH = 24;

/** A claim, as stored by the VM that issued the id. */
interface Claim {
  sequence: number;
  issuedAt: number;
  /** The VM that may execute the request; undefined while it is unclaimed. */
  holder: { vm: VmId; nonce: string } | undefined;
  outcome: ExecutionOutcome | "running" | "answered";
  endedNonces: string[];
}

type ClaimResult = Awaited<ReturnType<ExecutionClaims["claimExecution"]>>;

/** Claims on ids that this process issued, and claims that it holds. */
export class ProcessExecutionClaims extends ExecutionClaims {
  readonly #environment: Environment;
  readonly #secret: string;
  /** By id, oldest claim first. */
  readonly #claims = new Map<RequestId, Claim>();
  /** Nonces of the claims that this VM holds, until they are settled. */
  readonly #ownNonces = new Map<RequestId, string>();
  readonly #maxClaims: number;
  #nextSequence = 1;
  /**
   * Claims up to this sequence may have been evicted: their ids are refused.
   */
  #evictedUpTo = 0;
  #unsettled = 0;

  constructor(environment: Environment, maxClaims: number) {
    super();
    this.#environment = environment;
    this.#maxClaims = maxClaims;
    this.#secret = environment.random.nextHex(SECRET_LENGTH);
  }

  static create(
    environment: Environment,
    options: { maxClaims?: number } = {},
  ): ProcessExecutionClaims {
    return new ProcessExecutionClaims(
      environment,
      options.maxClaims ?? MAX_CLAIMS,
    );
  }

  /** Settlements that the issuing VMs have not acknowledged. */
  get unsettledCount(): number {
    return this.#unsettled;
  }

  issueId(): RequestId {
    return this.#formatNextId({ isSingle: false });
  }

  issueSingleUseId(): RequestId {
    return this.#formatNextId({ isSingle: true });
  }

  async claimExecution(requestId: RequestId): Promise<ClaimResult> {
    const parts = parseRequestId(requestId);
    if (parts === undefined || parts.isSingle) return { kind: "unknown_id" };
    const nonce = this.#environment.random.nextHex(NONCE_LENGTH);
    // The TTL starts before the call: an answer that waits in a buffer while
    // this process is paused must not extend the claim.
    const requestedAt = this.#environment.clock.now();
    const answer = await this.#sendClaim(parts, { requestId, nonce });
    if (answer.kind !== "granted") return answer;
    this.#ownNonces.set(requestId, nonce);
    const validUntil = requestedAt + answer.ttlMs;
    const clock = this.#environment.clock;
    return { kind: "granted", isValid: () => clock.now() < validUntil };
  }

  settleExecution(
    requestId: RequestId,
    outcome: ExecutionOutcome | "answered",
  ): void {
    const nonce = this.#ownNonces.get(requestId);
    const parts = parseRequestId(requestId);
    if (nonce === undefined || parts === undefined) return;
    this.#ownNonces.delete(requestId);
    this.#sendSettle(parts.vm, { requestId, nonce, outcome });
  }

  /** Handles a claim, by any VM, on an id that this VM issued. */
  handleClaim(call: ClaimCall): ClaimAnswer {
    const parts = this.#checkOwnId(call.requestId);
    if (parts === undefined) return { kind: "unknown_id" };
    const claim = this.#claims.get(call.requestId) ??
      this.#addClaim(call.requestId, parts);
    if (claim.holder?.nonce === call.nonce) return grantClaim();
    // A delayed duplicate of a settled claim: granting it would leave the id
    // claimed although no VM executes the request.
    const isStale = claim.endedNonces.includes(call.nonce);
    if (claim.holder === undefined && !isStale) {
      claim.holder = { vm: call.from.vm, nonce: call.nonce };
      claim.outcome = "running";
      return grantClaim();
    }
    return {
      kind: "taken",
      runner: claim.holder?.vm ?? call.from.vm,
      outcome: claim.outcome,
    };
  }

  /** Records the outcome of an execution that was claimed here. */
  handleSettlement(call: SettleCall): void {
    const parts = this.#checkOwnId(call.requestId);
    if (parts === undefined) return;
    const known = this.#claims.get(call.requestId);
    if (call.outcome !== "not_run") {
      const isHolder = known?.holder?.nonce === call.nonce;
      if (isHolder && known.outcome === "running") known.outcome = call.outcome;
      return;
    }
    // The settlement may arrive before its claim. Its nonce is stored even
    // then, so that the late claim is not granted.
    const claim = known ?? this.#addClaim(call.requestId, parts);
    const isOther = claim.holder !== undefined &&
      claim.holder.nonce !== call.nonce;
    noteEndedNonce(claim, call.nonce);
    if (isOther || isSettled(claim)) return;
    claim.holder = undefined;
    claim.outcome = "not_run";
  }

  /** The VM that executes or executed an id issued here, if stored. */
  findRunner(requestId: RequestId): VmId | undefined {
    return this.#claims.get(requestId)?.holder?.vm;
  }

  /** Whether the id was issued here, is still valid, and is unclaimed. */
  isFree(requestId: RequestId): boolean {
    return this.#checkOwnId(requestId) !== undefined &&
      this.findRunner(requestId) === undefined;
  }

  #formatNextId(options: { isSingle: boolean }): RequestId {
    const { vm, incarnation, clock } = this.#environment;
    const issuedAt = Math.floor(clock.now());
    const sequence = this.#nextSequence++;
    return formatRequestId(
      { vm, incarnation, sequence, issuedAt, ...options },
      this.#secret,
    );
  }

  async #sendClaim(
    parts: RequestIdParts,
    claim: { requestId: RequestId; nonce: string },
  ): Promise<ClaimAnswer | Extract<ClaimResult, { kind: "unreachable" }>> {
    const { vm, incarnation, clock, peers } = this.#environment;
    const call: ClaimCall = { from: { vm, incarnation }, ...claim };
    if (parts.vm === vm) {
      if (parts.incarnation === incarnation) return this.handleClaim(call);
      const why = "The VM that issued the id has restarted since";
      return { kind: "unreachable", issuer: vm, why };
    }
    let why = "";
    for (let attempt = 1; attempt <= CLAIM_ATTEMPTS; attempt++) {
      if (attempt > 1) await clock.sleep(CLAIM_RETRY_MS);
      try {
        return await peers.getPeer(parts.vm).claimRun(call);
      } catch (thrown) {
        why = toError(thrown).message;
      }
    }
    // A call may have been granted although its answer was lost. Nothing will
    // be executed under this nonce, so the claim is released.
    this.#sendSettle(parts.vm, { ...claim, outcome: "not_run" });
    return { kind: "unreachable", issuer: parts.vm, why };
  }

  #sendSettle(issuer: VmId, settle: Omit<SettleCall, "from">): void {
    const { vm, incarnation } = this.#environment;
    const call: SettleCall = { from: { vm, incarnation }, ...settle };
    if (issuer === vm) {
      this.handleSettlement(call);
      return;
    }
    this.#unsettled++;
    this.#settleWithRetries(issuer, call).finally(() => this.#unsettled--);
  }

  async #settleWithRetries(issuer: VmId, call: SettleCall): Promise<void> {
    const { clock, peers, log } = this.#environment;
    let delayMs = SETTLE_RETRY_MS;
    for (let attempt = 1; attempt <= SETTLE_ATTEMPTS; attempt++) {
      try {
        await peers.getPeer(issuer).settleRun(call);
        return;
      } catch (thrown) {
        log.debug("settle_failed", {
          request_id: call.requestId,
          peer: issuer,
          attempt,
          error: toError(thrown).message,
        });
      }
      await clock.sleep(delayMs);
      delayMs *= 2;
    }
    log.warn("settle_given_up", {
      request_id: call.requestId,
      peer: issuer,
      outcome: call.outcome,
    });
  }

  /** The parts of an id that this incarnation issued and still accepts. */
  #checkOwnId(requestId: RequestId): RequestIdParts | undefined {
    const { vm, incarnation, clock } = this.#environment;
    const parts = parseRequestId(requestId);
    if (parts === undefined || parts.isSingle) return undefined;
    if (parts.vm !== vm || parts.incarnation !== incarnation) return undefined;
    if (!hasValidCode(parts, this.#secret)) return undefined;
    if (clock.now() - parts.issuedAt >= ID_TTL_MS) return undefined;
    return parts.sequence > this.#evictedUpTo ? parts : undefined;
  }

  #addClaim(requestId: RequestId, parts: RequestIdParts): Claim {
    this.#removeExpired();
    const claim: Claim = {
      sequence: parts.sequence,
      issuedAt: parts.issuedAt,
      holder: undefined,
      outcome: "not_run",
      endedNonces: [],
    };
    this.#claims.set(requestId, claim);
    return claim;
  }

  /**
   * Evicts expired claims, and the oldest ones beyond the limit. An evicted id
   * must not be granted again, which would be a duplicate execution, so all ids
   * up to its sequence are refused from then on.
   */
  #removeExpired(): void {
    const now = this.#environment.clock.now();
    for (const [requestId, claim] of this.#claims) {
      const isExpired = now - claim.issuedAt >= ID_TTL_MS;
      if (!isExpired && this.#claims.size < this.#maxClaims) return;
      this.#evictedUpTo = Math.max(this.#evictedUpTo, claim.sequence);
      this.#claims.delete(requestId);
    }
  }
}

function grantClaim(): ClaimAnswer {
  return { kind: "granted", ttlMs: CLAIM_TTL_MS };
}

function isSettled(claim: Claim): boolean {
  return claim.outcome !== "running" && claim.outcome !== "not_run";
}

function noteEndedNonce(claim: Claim, nonce: string): void {
  if (claim.endedNonces.includes(nonce)) return;
  claim.endedNonces.push(nonce);
  if (claim.endedNonces.length > MAX_ENDED_NONCES) claim.endedNonces.shift();
}
