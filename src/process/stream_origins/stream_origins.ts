/**
 * Knows at which software version streams began, over all VMs.
 *
 * The VM that gets the first event of a stream tells other VMs before it passes
 * the event on, since it may be gone when the caller takes the stream up.
 * Messages may be lost, so a VM that was not told asks. What nobody knows is not
 * guessed: a stream goes on at the only version of its pool if there was no
 * other for as long as a stream may last, and is refused otherwise. After a loss
 * of all VMs nobody knows what was there before.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { PoolName, StreamKey, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { ReplicaList } from "../placement/index.ts";
import type {
  FleetPeer,
  ListSource,
  OriginAnswerMessage,
  OriginMessage,
  OriginQueryMessage,
  VersionRecord,
} from "../seeded_fleet/index.ts";
import {
  type FindOriginOptions,
  type FoundOrigin,
  type StreamContent,
  type StreamName,
  type StreamOrigin,
  StreamOriginSource,
} from "../stream_origin_source.ts";
import { chooseAsked, chooseHolders } from "./origin_holders.ts";
import {
  type OriginAnswer,
  OriginQueries,
  type ToldVersions,
} from "./origin_queries.ts";
import { OriginStore } from "./origin_store.ts";
import { computeStreamKey } from "./stream_key.ts";
import { type PoolVersions, VersionHistory } from "./version_history.ts";

/** A list is confirmed once a second while the store answers. */
const MAX_CONFIRMATION_WAIT_MS = 1_300;
const CONFIRMATION_CHECK_MS = 20;
/** Time that a stream that goes on needs at least. */
const MIN_LEFT_MS = 100;

/** Options of `StreamOrigins`. */
export interface StreamOriginsOptions {
  vm: VmId;
  clock: Clock;
  listPeers: () => readonly FleetPeer[];
  send: (to: FleetPeer, message: OriginMessage | OriginQueryMessage) => void;
  /** Time since the list was last known to be the newest; -1 for never. */
  getListAgeMs: () => number;
  /** Time for which a stream may be taken up, in milliseconds. */
  getRetentionMs: () => number;
}

/** Tells, remembers and finds the origins of streams. */
export class StreamOrigins extends StreamOriginSource {
  readonly #options: StreamOriginsOptions;
  readonly #store: OriginStore;
  readonly #history: VersionHistory;
  readonly #queries: OriginQueries;

  constructor(options: StreamOriginsOptions) {
    super();
    this.#options = options;
    this.#store = OriginStore.create(options);
    this.#history = VersionHistory.create(options);
    this.#queries = OriginQueries.create(options);
  }

  static create(options: StreamOriginsOptions): StreamOrigins {
    return new StreamOrigins(options);
  }

  /** Streams whose origin this VM remembers. */
  get size(): number {
    return this.#store.size;
  }

  /** Records a newer list; call before it is confirmed. */
  noteList(list: ReplicaList, source: ListSource): void {
    this.#history.noteList(list, source);
  }

  /** See `VersionHistory.buildRecord`. */
  buildVersionRecord(): VersionRecord | undefined {
    return this.#history.buildRecord();
  }

  override announce(
    stream: StreamName,
    content: StreamContent,
    origin: StreamOrigin,
  ): void {
    const { listPeers, send } = this.#options;
    const key = computeStreamKey(stream);
    // Without a prompt nothing tells one request from another of its caller.
    const contentKey = content.parts.length === 0
      ? undefined
      : computeStreamKey(content);
    const message: OriginMessage = {
      kind: "origin",
      key,
      ...origin,
      contentKey,
    };
    this.noteAnnounced(message);
    const peers = listPeers();
    const holders = new Set(chooseHolders(key, peers));
    if (contentKey !== undefined) {
      chooseHolders(contentKey, peers).forEach((peer) => holders.add(peer));
    }
    for (const peer of holders) send(peer, message);
  }

  /** Records where a stream began. */
  noteAnnounced({ key, pool, version, contentKey }: OriginMessage): void {
    this.#store.put(key, { pool, version });
    if (contentKey === undefined) return;
    this.#store.putShared(contentKey, { pool, version });
  }

  answerQuery({ ask, key, pool }: OriginQueryMessage): OriginAnswerMessage {
    const answer = {
      kind: "origin_answer" as const,
      ask,
      vm: this.#options.vm,
      listRevision: this.#history.position.revision,
      listEra: this.#history.position.era,
    };
    const origin = this.#store.find(key);
    if (origin !== undefined) return { ...answer, ...origin };
    if (this.#store.isAmbiguous(key)) return { ...answer, hasSeveral: true };
    const versions = this.#getVersionsLately(pool);
    return match(versions)
      .with({ kind: "only" }, ({ version }) => {
        return { ...answer, onlyVersion: version };
      })
      .with({ kind: "several" }, () => ({ ...answer, hasSeveral: true }))
      .with({ kind: "unknown" }, () => answer)
      .exhaustive();
  }

  noteAnswer(answer: OriginAnswerMessage): void {
    this.#queries.noteAnswer(answer);
  }

  override async find(
    stream: StreamName | StreamContent,
    options: FindOriginOptions,
  ): Promise<FoundOrigin | undefined> {
    const { vm } = this.#options;
    const key = computeStreamKey(stream);
    if (this.#store.isAmbiguous(key)) return undefined;
    const own = this.#store.find(key);
    if (own !== undefined) return { origin: own, knownBy: vm };
    return await this.#ask(key, options);
  }

  /**
   * Asks other VMs, again while none answers. Between two tries this VM may get a
   * list, or the confirmation that it has the newest.
   */
  async #ask(
    key: StreamKey,
    { pool, arrivedAt, deadlineAt, signal }: FindOriginOptions,
  ): Promise<FoundOrigin | undefined> {
    const { clock, listPeers, vm } = this.#options;
    const waitUntil = Math.min(
      clock.now() + MAX_CONFIRMATION_WAIT_MS,
      deadlineAt - MIN_LEFT_MS,
    );
    const ask = () =>
      this.#queries.ask(chooseAsked(key, listPeers()), { key, pool });
    let answer = await ask();
    while (true) {
      const { origin, knownBy = vm } = answer;
      if (origin !== undefined) {
        this.#store.put(key, origin);
        return { origin, knownBy };
      }
      const decision = this.#findOnlyLately(pool, arrivedAt, answer);
      if (decision === "unknown") return undefined;
      if (decision !== "undecided") return decision;
      if (signal.aborted || clock.now() >= waitUntil) return undefined;
      await clock.sleep(CONFIRMATION_CHECK_MS);
      if (answer.isUnheard) answer = await ask();
    }
  }

  /**
   * The origin of any stream of the pool that began before `arrivedAt`, if there
   * has been but one version for as long as a stream may last; undecided where
   * this VM may learn more.
   */
  #findOnlyLately(
    pool: PoolName,
    arrivedAt: number,
    { versions, isUnheard }: OriginAnswer,
  ): FoundOrigin | "unknown" | "undecided" {
    const version = this.#history.findOnlyNow(pool);
    if (version === undefined) return "unknown";
    const told = versions.map((each) => this.#getUsable(each));
    const known = [this.#getVersionsLately(pool), ...told]
      .filter(({ kind }) => kind !== "unknown");
    const isOnly = known.every((each) =>
      each.kind === "only" && each.version === version
    );
    if (!isOnly) return "unknown";
    if (known.length === 0) return isUnheard ? "undecided" : "unknown";
    // The stream's own VM may have had a newer list than this one.
    return this.#isConfirmedSince(arrivedAt)
      ? { origin: { pool, version }, knownBy: "only_version" }
      : "undecided";
  }

  /**
   * What another VM has told. That there was one version counts if this VM knows
   * all lists after those of the other.
   */
  #getUsable({ versions, list }: ToldVersions): PoolVersions {
    const isUsable = versions.kind === "several" ||
      list !== undefined && this.#history.isCompleteSince(list);
    return isUsable ? versions : { kind: "unknown" };
  }

  #getVersionsLately(pool: PoolName): PoolVersions {
    return this.#history.getVersions(pool, this.#options.getRetentionMs());
  }

  #isConfirmedSince(at: number): boolean {
    const ageMs = this.#options.getListAgeMs();
    return ageMs >= 0 && this.#options.clock.now() - ageMs >= at;
  }
}
