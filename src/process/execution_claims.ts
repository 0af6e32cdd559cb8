/**
 * At most one run for each request id, over callers' resubmissions.
 *
 * The VM that issued an id records for good who may run it, so two entry VMs
 * that cannot see each other cannot both run it. When that incarnation is gone
 * or cannot be asked, nothing runs and the answer is "unknown".
 *
 * @module
 */
import { toError } from "../errors.ts";
import type { RequestId, VmId } from "../ids.ts";
import type { RunOutcome } from "../outcome.ts";
import type { Environment } from "./environment.ts";
import type { ClaimAnswer, ClaimCall, SettleCall } from "./peer_api.ts";
import {
  formatRequestId,
  hasValidCode,
  parseRequestId,
  type RequestIdParts,
} from "./request_ids.ts";
import { ExecutionClaims } from "./services.ts";

/** How long an id may be submitted after it was issued. */
export const ID_TTL_MS = 15 * 60_000;
/** How long a granted claim lets its holder send. */
export const CLAIM_TTL_MS = 5 * 60_000;
/** Claimed ids that one VM remembers. */
const MAX_CLAIMS = 50_000;
/** Nonces of claims that ended as not run, kept for each id. */
const MAX_ENDED_NONCES = 8;
const CLAIM_TRIES = 3;
const CLAIM_RETRY_MS = 50;
const SETTLE_TRIES = 8;
const SETTLE_RETRY_MS = 200;
const SECRET_LENGTH = 64;
const NONCE_LENGTH = 24;

/** What the issuing VM remembers of one claimed id. */
interface Claim {
  sequence: number;
  issuedAt: number;
  /** Who may run it; undefined while no claim stands. */
  holder: { vm: VmId; nonce: string } | undefined;
  outcome: RunOutcome | "running" | "answered";
  endedNonces: string[];
}

type ClaimResult = Awaited<ReturnType<ExecutionClaims["claimExecution"]>>;

/** The claims of one process: on its own ids, and for its own runs. */
export class ProcessExecutionClaims extends ExecutionClaims {
  readonly #environment: Environment;
  readonly #secret: string;
  /** By id, oldest claim first. */
  readonly #claims = new Map<RequestId, Claim>();
  /** Nonces of the runs that this VM holds, until they are settled. */
  readonly #ownNonces = new Map<RequestId, string>();
  readonly #maxClaims: number;
  #nextSequence = 1;
  /** Ids up to this sequence may have been forgotten: they never run. */
  #forgottenUpTo = 0;
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

  /** Settlements that the issuing VMs have not taken yet. */
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
    // The time to live counts from before the ask: an answer that waits in a
    // buffer while this process is paused must not look fresh.
    const askedAt = this.#environment.clock.now();
    const answer = await this.#askIssuer(parts, { requestId, nonce });
    if (answer.kind !== "granted") return answer;
    this.#ownNonces.set(requestId, nonce);
    const standsUntil = askedAt + answer.ttlMs;
    const clock = this.#environment.clock;
    return { kind: "granted", isStanding: () => clock.now() < standsUntil };
  }

  settleExecution(
    requestId: RequestId,
    outcome: RunOutcome | "answered",
  ): void {
    const nonce = this.#ownNonces.get(requestId);
    const parts = parseRequestId(requestId);
    if (nonce === undefined || parts === undefined) return;
    this.#ownNonces.delete(requestId);
    this.#sendSettle(parts.vm, { requestId, nonce, outcome });
  }

  /** Answers another VM's (or this VM's own) claim on an id issued here. */
  answerClaim(call: ClaimCall): ClaimAnswer {
    const parts = this.#checkOwnId(call.requestId);
    if (parts === undefined) return { kind: "unknown_id" };
    const claim = this.#claims.get(call.requestId) ??
      this.#addClaim(call.requestId, parts);
    if (claim.holder?.nonce === call.nonce) return grantClaim();
    // A repeat of a claim that ended, late on the network: granting it would
    // leave the id taken by a run that nobody is doing.
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

  /** Takes the outcome of a run that was claimed here. */
  answerSettle(call: SettleCall): void {
    const parts = this.#checkOwnId(call.requestId);
    if (parts === undefined) return;
    const known = this.#claims.get(call.requestId);
    if (call.outcome !== "not_run") {
      const isHolder = known?.holder?.nonce === call.nonce;
      if (isHolder && known.outcome === "running") known.outcome = call.outcome;
      return;
    }
    // The settlement may overtake its own claim; the ended nonce is kept even
    // then, so that the claim finds it when it arrives.
    const claim = known ?? this.#addClaim(call.requestId, parts);
    const isOther = claim.holder !== undefined &&
      claim.holder.nonce !== call.nonce;
    noteEndedNonce(claim, call.nonce);
    if (isOther || isSettled(claim)) return;
    claim.holder = undefined;
    claim.outcome = "not_run";
  }

  /** The VM that runs or ran an id issued here, where it is remembered. */
  findRunner(requestId: RequestId): VmId | undefined {
    return this.#claims.get(requestId)?.holder?.vm;
  }

  /** Whether the id was issued here, is remembered, and nobody holds it. */
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

  async #askIssuer(
    parts: RequestIdParts,
    claim: { requestId: RequestId; nonce: string },
  ): Promise<ClaimAnswer | Extract<ClaimResult, { kind: "unreachable" }>> {
    const { vm, incarnation, clock, peers } = this.#environment;
    const call: ClaimCall = { from: { vm, incarnation }, ...claim };
    if (parts.vm === vm) {
      if (parts.incarnation === incarnation) return this.answerClaim(call);
      const why = "The VM that issued the id was restarted since";
      return { kind: "unreachable", issuer: vm, why };
    }
    let why = "";
    for (let attempt = 1; attempt <= CLAIM_TRIES; attempt++) {
      if (attempt > 1) await clock.sleep(CLAIM_RETRY_MS);
      try {
        return await peers.getPeer(parts.vm).claimRun(call);
      } catch (thrown) {
        why = toError(thrown).message;
      }
    }
    // One of the asks may have been granted with its answer lost. Nothing will
    // run under this nonce, so the id is given back.
    this.#sendSettle(parts.vm, { ...claim, outcome: "not_run" });
    return { kind: "unreachable", issuer: parts.vm, why };
  }

  #sendSettle(issuer: VmId, settle: Omit<SettleCall, "from">): void {
    const { vm, incarnation } = this.#environment;
    const call: SettleCall = { from: { vm, incarnation }, ...settle };
    if (issuer === vm) {
      this.answerSettle(call);
      return;
    }
    this.#unsettled++;
    this.#settleWithRetries(issuer, call).finally(() => this.#unsettled--);
  }

  async #settleWithRetries(issuer: VmId, call: SettleCall): Promise<void> {
    const { clock, peers, log } = this.#environment;
    let delayMs = SETTLE_RETRY_MS;
    for (let attempt = 1; attempt <= SETTLE_TRIES; attempt++) {
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

  /** The parts of an id that this incarnation issued and still answers for. */
  #checkOwnId(requestId: RequestId): RequestIdParts | undefined {
    const { vm, incarnation, clock } = this.#environment;
    const parts = parseRequestId(requestId);
    if (parts === undefined || parts.isSingle) return undefined;
    if (parts.vm !== vm || parts.incarnation !== incarnation) return undefined;
    if (!hasValidCode(parts, this.#secret)) return undefined;
    if (clock.now() - parts.issuedAt >= ID_TTL_MS) return undefined;
    return parts.sequence > this.#forgottenUpTo ? parts : undefined;
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
   * Bounds the memory. A claim that is merely forgotten could be granted a
   * second time, seen as a doubled run; raising the sequence below which ids
   * are unknown makes each forgotten id one that never runs again.
   */
  #removeExpired(): void {
    const now = this.#environment.clock.now();
    for (const [requestId, claim] of this.#claims) {
      const isExpired = now - claim.issuedAt >= ID_TTL_MS;
      if (!isExpired && this.#claims.size < this.#maxClaims) return;
      this.#forgottenUpTo = Math.max(this.#forgottenUpTo, claim.sequence);
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
