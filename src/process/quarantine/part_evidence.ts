/**
 * Evidence against one part of prompts: which replicas crashed while they ran a
 * request with it, and when a request with it was last answered completely.
 *
 * Crashes are a set, the parts that came with it an intersection and the answer
 * a maximum, so reports can be merged in any order and more than once.
 *
 * @module
 */
import type {
  Incarnation,
  PartKey,
  PoolName,
  RequestFingerprint,
} from "../../ids.ts";

/** Time for which an answer shows that a part was in use before a crash. */
const ANSWER_MEMORY_MS = 60_000;
/** Largest number of crashes kept per part. */
const MAX_CRASHES = 24;

/** The crash of a replica that ran a request with the part. */
export interface PartCrash {
  replica: Incarnation;
  /** As `Clock.now()`. */
  at: number;
  /** When the last such request was sent there. */
  sentAt: number;
  /** That request. */
  request: RequestFingerprint;
  /** Replicas of the pool that took new work. */
  replicas: number;
}

/** Crashes and answers of one part. All times are those of `Clock.now()`. */
export class PartEvidence {
  readonly part: PartKey;
  readonly pool: PoolName;
  readonly #crashes = new Map<Incarnation, PartCrash>();
  #company: ReadonlySet<PartKey> | undefined;
  #answeredAt = -Infinity;

  constructor(part: PartKey, pool: PoolName) {
    this.part = part;
    this.pool = pool;
  }

  static create(part: PartKey, pool: PoolName): PartEvidence {
    return new PartEvidence(part, pool);
  }

  /** Number of crashes, those before the last answer included. */
  get size(): number {
    return this.#crashes.size;
  }

  /** When the last complete answer to a request with it began. */
  get answeredAt(): number {
    return this.#answeredAt;
  }

  /** The parts that all requests with it had that were cut off by crashes. */
  get company(): ReadonlySet<PartKey> {
    return this.#company ?? new Set();
  }

  /** Whether the crash of a replica is recorded. */
  hasCrash(replica: Incarnation): boolean {
    return this.#crashes.has(replica);
  }

  /** Records a crash; returns whether that is new. */
  addCrash(crash: PartCrash, parts: readonly PartKey[]): boolean {
    const known = this.#crashes.get(crash.replica);
    const company = this.#computeCompany(parts);
    const isNarrower = company.size !== this.#company?.size;
    this.#company = company;
    if (known !== undefined && crash.sentAt <= known.sentAt) return isNarrower;
    const { at = crash.at } = known ?? {};
    this.#crashes.set(crash.replica, { ...crash, at });
    this.#dropOldest();
    return true;
  }

  /** A later answer is no evidence about crashes after it began. */
  noteAnswered(beganAt: number): void {
    this.#answeredAt = Math.max(this.#answeredAt, beganAt);
  }

  /** Crashes since the last complete answer, the first one first. */
  listCrashes(): PartCrash[] {
    return [...this.#crashes.values()]
      .filter(({ at }) => at > this.#answeredAt)
      .toSorted((left, right) => left.at - right.at);
  }

  /** Whether it was answered completely in the time before `crash`. */
  hasAnswerBefore({ at }: PartCrash): boolean {
    return at - this.#answeredAt < ANSWER_MEMORY_MS;
  }

  #computeCompany(parts: readonly PartKey[]): Set<PartKey> {
    const others = parts.filter((part) =>
      part !== this.part && (this.#company?.has(part) ?? true)
    );
    return new Set(others);
  }

  #dropOldest(): void {
    while (this.#crashes.size > MAX_CRASHES) {
      const [oldest] = this.#crashes.keys();
      this.#crashes.delete(oldest!);
    }
  }
}

/**
 * The crashes of requests that were each sent after the crash before: requests
 * that ran side by side when several replicas crashed at once count as one.
 */
export function listSuccessive(crashes: readonly PartCrash[]): PartCrash[] {
  const successive: PartCrash[] = [];
  for (const crash of crashes) {
    const before = successive.at(-1);
    if (before === undefined || crash.sentAt > before.at) {
      successive.push(crash);
    }
  }
  return successive;
}
