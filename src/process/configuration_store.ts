/**
 * The accepted configuration and the rules for replacing it.
 *
 * @module
 */
import { match } from "ts-pattern";
import { buildSnapshot, formatProblem } from "../version/index.ts";
import type { RecordProblem, Snapshot } from "../version/index.ts";
import type { Clock } from "./clock.ts";
import { RecordCache } from "./configuration_records.ts";
import {
  applyDeltas,
  DeltaHistory,
  mergeRecords,
} from "./configuration_deltas.ts";
import type { ConfigurationDelta } from "./peer_api.ts";

const MAX_HISTORY_ENTRIES = 32;
const MAX_REJECTED_CANDIDATES = 32;
const MAX_STORED_PROBLEMS = 10;

/** Published records that may become the active configuration. */
export interface ConfigurationCandidate {
  version: number;
  records: unknown[];
  /** `service`, `directory` or the VM that sent the records. */
  from: string;
}

/** Result of applying a candidate. */
export type ApplyResult =
  | { kind: "accepted"; snapshot: Snapshot }
  /** Other content under the active version; `replaced` if the new one won. */
  | { kind: "conflict"; replaced: boolean; isNew: boolean; digest: string }
  | { kind: "rejected"; problems: RecordProblem[]; isNew: boolean }
  | { kind: "same" }
  | { kind: "older" };

/** One decision of this VM on a candidate. */
export interface VersionEntry {
  version: number;
  digest: string;
  /** `outranked`: other content of that version is active. */
  result: "accepted" | "rejected" | "outranked";
  from: string;
  /** Time since the decision. */
  ageMs: number;
  problems: string[];
}

type StoredEntry = Omit<VersionEntry, "ageMs"> & { decidedAt: number };

interface Accepted {
  snapshot: Snapshot;
  records: unknown[];
  digest: string;
  from: string;
  decidedAt: number;
}

/** Source of the active records, and the time since they were accepted. */
export interface VersionOrigin {
  from: string;
  ageMs: number;
}

/**
 * Keeps the active configuration. Only a higher version replaces it.
 *
 * The configuration service must not publish two contents under one version,
 * but two services can disagree or a version can be published twice. If each
 * VM kept the content that it received first, VMs with equal versions would
 * handle the same request differently. So the content with the greater digest
 * wins on all VMs, independent of the order of arrival.
 */
export class ConfigurationStore {
  readonly #clock: Clock;
  readonly #deltas = DeltaHistory.create();
  readonly #recordCache = RecordCache.create();
  #accepted: Accepted | undefined;
  #history: StoredEntry[] = [];
  #rejected = new Map<string, RecordProblem[]>();
  #outranked: string | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ConfigurationStore {
    return new ConfigurationStore(clock);
  }

  getSnapshot(): Snapshot | undefined {
    return this.#accepted?.snapshot;
  }

  /** The active version; 0 before the first. */
  getVersion(): number {
    return this.#accepted?.snapshot.version ?? 0;
  }

  /** Digest of the active records; empty before the first. */
  getDigest(): string {
    return this.#accepted?.digest ?? "";
  }

  /**
   * Origin of the active records; undefined before the first. It is not taken
   * from the history, which later rejections may have pushed it out of.
   */
  getOrigin(): VersionOrigin | undefined {
    if (this.#accepted === undefined) return undefined;
    const { from, decidedAt } = this.#accepted;
    return { from, ageMs: this.#clock.now() - decidedAt };
  }

  /** The active records, as published. */
  getRecords(): unknown[] | undefined {
    return this.#accepted?.records;
  }

  /** The deltas from the content with `digest` to the active one. */
  listDeltas(digest: string): ConfigurationDelta[] | undefined {
    return this.#deltas.listFrom(digest);
  }

  /**
   * Applies deltas of another VM to the active records. Returns undefined if
   * they do not apply or the result does not have the digest that they state.
   */
  buildRecords(deltas: unknown): unknown[] | undefined {
    if (this.#accepted === undefined) return undefined;
    const content = applyDeltas(this.#accepted, deltas);
    if (content === undefined) return undefined;
    const hasExpectedDigest =
      this.#recordCache.computeDigest(content.records) === content.digest;
    return hasExpectedDigest ? content.records : undefined;
  }

  /** Applies `candidate` if the rules allow it; never throws. */
  apply(candidate: ConfigurationCandidate): ApplyResult {
    if (!Number.isSafeInteger(candidate.version) || candidate.version < 1) {
      return { kind: "older" };
    }
    if (candidate.version < this.getVersion()) return { kind: "older" };
    // Reuses the objects of unchanged records: they are the keys of the cache.
    const records = mergeRecords(
      this.#accepted?.records ?? [],
      candidate.records,
    );
    const digest = this.#recordCache.computeDigest(records);
    const isConflict = candidate.version === this.getVersion();
    if (isConflict && digest === this.getDigest()) return { kind: "same" };
    if (isConflict && digest < this.getDigest()) {
      const isNew = this.#noteOutranked(candidate, digest);
      return { kind: "conflict", replaced: false, isNew, digest };
    }
    const knownProblems = this.#rejected.get(toKey(candidate.version, digest));
    if (knownProblems !== undefined) {
      return { kind: "rejected", problems: knownProblems, isNew: false };
    }
    const parse = (record: unknown) => this.#recordCache.parse(record);
    return match(buildSnapshot(candidate.version, records, { parse }))
      .with({ kind: "rejected" }, ({ problems }): ApplyResult => {
        this.#noteRejected(candidate, digest, problems);
        return { kind: "rejected", problems, isNew: true };
      })
      .with({ kind: "accepted" }, ({ snapshot }): ApplyResult => {
        const accepted: Accepted = {
          snapshot,
          records,
          digest,
          from: candidate.from,
          decidedAt: this.#clock.now(),
        };
        if (this.#accepted) this.#deltas.add(this.#accepted, accepted);
        this.#accepted = accepted;
        this.#addHistory(candidate, {
          digest,
          result: "accepted",
          problems: [],
        });
        return isConflict
          ? { kind: "conflict", replaced: true, isNew: true, digest }
          : { kind: "accepted", snapshot };
      })
      .exhaustive();
  }

  /** Lists the latest decisions, oldest first. */
  listHistory(): VersionEntry[] {
    const now = this.#clock.now();
    return this.#history.map(({ decidedAt, ...entry }) => ({
      ...entry,
      ageMs: now - decidedAt,
    }));
  }

  #noteOutranked(candidate: ConfigurationCandidate, digest: string): boolean {
    const key = toKey(candidate.version, digest);
    if (this.#outranked === key) return false;
    this.#outranked = key;
    this.#addHistory(candidate, { digest, result: "outranked", problems: [] });
    return true;
  }

  #noteRejected(
    candidate: ConfigurationCandidate,
    digest: string,
    problems: RecordProblem[],
  ): void {
    const stored = problems.slice(0, MAX_STORED_PROBLEMS);
    this.#rejected.set(toKey(candidate.version, digest), stored);
    if (this.#rejected.size > MAX_REJECTED_CANDIDATES) {
      const oldest = this.#rejected.keys().next().value;
      if (oldest !== undefined) this.#rejected.delete(oldest);
    }
    const texts = stored.map(formatProblem);
    this.#addHistory(candidate, {
      digest,
      result: "rejected",
      problems: texts,
    });
  }

  #addHistory(
    candidate: ConfigurationCandidate,
    decision: Pick<StoredEntry, "digest" | "result" | "problems">,
  ): void {
    this.#history.push({
      ...decision,
      version: candidate.version,
      from: candidate.from,
      decidedAt: this.#clock.now(),
    });
    if (this.#history.length > MAX_HISTORY_ENTRIES) this.#history.shift();
  }
}

function toKey(version: number, digest: string): string {
  return `${version}/${digest}`;
}
