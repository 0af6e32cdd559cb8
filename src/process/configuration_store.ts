/**
 * The accepted configuration and the rules by which another replaces it.
 *
 * @module
 */
import { match } from "ts-pattern";
import { buildSnapshot, formatProblem } from "../version/index.ts";
import type { RecordProblem, Snapshot } from "../version/index.ts";
import type { Clock } from "./clock.ts";
import { RecordMemory } from "./configuration_records.ts";
import {
  applyDeltas,
  DeltaHistory,
  mergeRecords,
} from "./configuration_deltas.ts";
import type { ConfigurationDelta } from "./peer_api.ts";

const MAX_HISTORY = 32;
const MAX_REJECTED = 32;
const MAX_PROBLEMS_KEPT = 10;

/** Published records that may become the configuration. */
export interface Offer {
  version: number;
  records: unknown[];
  /** `service`, `directory` or the VM that handed them on. */
  from: string;
}

/** What became of an offer. */
export type OfferResult =
  | { kind: "accepted"; snapshot: Snapshot }
  /** Another content under the version in force; `replaced` says which won. */
  | { kind: "conflict"; replaced: boolean; isNew: boolean; digest: string }
  | { kind: "rejected"; problems: RecordProblem[]; isNew: boolean }
  | { kind: "same" }
  | { kind: "older" };

/** A version that this VM decided on. */
export interface VersionEntry {
  version: number;
  digest: string;
  /** `outranked`: another content of that version is in force. */
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

/** From whom the records in force came, and the time since then. */
export interface VersionOrigin {
  from: string;
  ageMs: number;
}

/**
 * Keeps the one accepted configuration. Only a higher version replaces it.
 *
 * Two contents under one version number break the service's promise (two
 * services that disagree, or a version published twice). Each VM would keep
 * the one it saw first, and two VMs would treat one request differently with
 * nothing in the versions to show it. So the content with the greater digest
 * wins everywhere, whichever a VM saw first.
 */
export class ConfigurationStore {
  readonly #clock: Clock;
  readonly #steps = DeltaHistory.create();
  readonly #memory = RecordMemory.create();
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

  /** The version in force; 0 before the first. */
  getVersion(): number {
    return this.#accepted?.snapshot.version ?? 0;
  }

  /** Of the records in force; empty before the first. */
  getDigest(): string {
    return this.#accepted?.digest ?? "";
  }

  /**
   * Where the records in force came from; undefined before the first. The
   * history may have lost that decision to later refusals.
   */
  getOrigin(): VersionOrigin | undefined {
    if (this.#accepted === undefined) return undefined;
    const { from, decidedAt } = this.#accepted;
    return { from, ageMs: this.#clock.now() - decidedAt };
  }

  /** The records in force, as published. */
  getRecords(): unknown[] | undefined {
    return this.#accepted?.records;
  }

  /** The steps from the content of `digest` to the one in force. */
  listDeltas(digest: string): ConfigurationDelta[] | undefined {
    return this.#steps.listFrom(digest);
  }

  /**
   * The records that `steps` of another VM lead to from those in force;
   * undefined where they do not fit or lead elsewhere than they say.
   */
  buildRecords(steps: unknown): unknown[] | undefined {
    if (this.#accepted === undefined) return undefined;
    const content = applyDeltas(this.#accepted, steps);
    if (content === undefined) return undefined;
    const isWhole =
      this.#memory.computeDigest(content.records) === content.digest;
    return isWhole ? content.records : undefined;
  }

  /** Takes `offer` if the rules say so; never throws. */
  apply(offer: Offer): OfferResult {
    if (!Number.isSafeInteger(offer.version) || offer.version < 1) {
      return { kind: "older" };
    }
    if (offer.version < this.getVersion()) return { kind: "older" };
    // Records that did not change stay the objects that they were.
    const records = mergeRecords(this.#accepted?.records ?? [], offer.records);
    const digest = this.#memory.computeDigest(records);
    const isConflict = offer.version === this.getVersion();
    if (isConflict && digest === this.getDigest()) return { kind: "same" };
    if (isConflict && digest < this.getDigest()) {
      const isNew = this.#noteOutranked(offer, digest);
      return { kind: "conflict", replaced: false, isNew, digest };
    }
    const known = this.#rejected.get(toKey(offer.version, digest));
    if (known !== undefined) {
      return { kind: "rejected", problems: known, isNew: false };
    }
    const parse = (record: unknown) => this.#memory.parse(record);
    return match(buildSnapshot(offer.version, records, { parse }))
      .with({ kind: "rejected" }, ({ problems }): OfferResult => {
        this.#noteRejected(offer, digest, problems);
        return { kind: "rejected", problems, isNew: true };
      })
      .with({ kind: "accepted" }, ({ snapshot }): OfferResult => {
        const accepted: Accepted = {
          snapshot,
          records,
          digest,
          from: offer.from,
          decidedAt: this.#clock.now(),
        };
        if (this.#accepted) this.#steps.add(this.#accepted, accepted);
        this.#accepted = accepted;
        this.#addHistory(offer, { digest, result: "accepted", problems: [] });
        return isConflict
          ? { kind: "conflict", replaced: true, isNew: true, digest }
          : { kind: "accepted", snapshot };
      })
      .exhaustive();
  }

  /** The latest decisions, oldest first. */
  listHistory(): VersionEntry[] {
    const now = this.#clock.now();
    return this.#history.map(({ decidedAt, ...entry }) => ({
      ...entry,
      ageMs: now - decidedAt,
    }));
  }

  #noteOutranked(offer: Offer, digest: string): boolean {
    const key = toKey(offer.version, digest);
    if (this.#outranked === key) return false;
    this.#outranked = key;
    this.#addHistory(offer, { digest, result: "outranked", problems: [] });
    return true;
  }

  #noteRejected(
    offer: Offer,
    digest: string,
    problems: RecordProblem[],
  ): void {
    const kept = problems.slice(0, MAX_PROBLEMS_KEPT);
    this.#rejected.set(toKey(offer.version, digest), kept);
    if (this.#rejected.size > MAX_REJECTED) {
      const oldest = this.#rejected.keys().next().value;
      if (oldest !== undefined) this.#rejected.delete(oldest);
    }
    const texts = kept.map(formatProblem);
    this.#addHistory(offer, { digest, result: "rejected", problems: texts });
  }

  #addHistory(
    offer: Offer,
    decision: Pick<StoredEntry, "digest" | "result" | "problems">,
  ): void {
    this.#history.push({
      ...decision,
      version: offer.version,
      from: offer.from,
      decidedAt: this.#clock.now(),
    });
    if (this.#history.length > MAX_HISTORY) this.#history.shift();
  }
}

function toKey(version: number, digest: string): string {
  return `${version}/${digest}`;
}
