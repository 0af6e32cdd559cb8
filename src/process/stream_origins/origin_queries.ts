/**
 * Asks other VMs where a stream began.
 *
 * @module
 */
import { startSilenceTimer } from "../../connection/silence_timer.ts";
import type { PoolName, StreamKey, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { ListPosition } from "../placement/index.ts";
import type {
  FleetPeer,
  OriginAnswerMessage,
  OriginQueryMessage,
} from "../seeded_fleet/index.ts";
import type { StreamOrigin } from "../stream_origin_source.ts";
import type { PoolVersions } from "./version_history.ts";

/**
 * A VM that has not answered by then is down or unreachable. Answers take a few
 * milliseconds; a refusal costs the caller more than a wait for a busy VM.
 */
const ANSWER_TIMEOUT_MS = 200;
/** A query may be lost, and is sent again to those that did not answer. */
const RESEND_INTERVAL_MS = 40;

/** What other VMs know about a stream. */
export interface OriginAnswer {
  origin: StreamOrigin | undefined;
  /** VM that knew it. */
  knownBy?: VmId;
  /** What those that answered can tell of the pool's versions. */
  versions: ToldVersions[];
  /** Whether VMs were asked and none answered. */
  isUnheard: boolean;
}

/** What a VM can tell, by its list. */
export interface ToldVersions {
  versions: PoolVersions;
  /** Its list; undefined from older software. */
  list: ListPosition | undefined;
}

/** Options of `OriginQueries`. */
export interface OriginQueriesOptions {
  clock: Clock;
  send: (to: FleetPeer, message: OriginQueryMessage) => void;
}

interface PendingQuery {
  onAnswer: (answer: OriginAnswerMessage) => void;
}

/** Sends queries and matches their answers. */
export class OriginQueries {
  readonly #options: OriginQueriesOptions;
  readonly #pending = new Map<number, PendingQuery>();
  #lastQuery = 0;

  constructor(options: OriginQueriesOptions) {
    this.#options = options;
  }

  static create(options: OriginQueriesOptions): OriginQueries {
    return new OriginQueries(options);
  }

  /** Resolves at the first VM that knows, or once all have answered or time out. */
  ask(
    vms: readonly FleetPeer[],
    { key, pool }: { key: StreamKey; pool: PoolName },
  ): Promise<OriginAnswer> {
    const { clock, send } = this.#options;
    this.#lastQuery += 1;
    const ask = this.#lastQuery;
    const open = new Map(vms.map((peer) => [peer.heartbeat.vm, peer]));
    const versions: ToldVersions[] = [];
    return new Promise((resolve) => {
      const settle = (origin?: StreamOrigin, knownBy?: VmId) => {
        cancelResend();
        cancelTimeout();
        this.#pending.delete(ask);
        const by = knownBy === undefined ? {} : { knownBy };
        const isUnheard = versions.length === 0 && open.size > 0;
        resolve({ origin, versions, isUnheard, ...by });
      };
      let cancelResend = () => {};
      const sendOpen = () => {
        const query = { kind: "origin_query" as const, ask, key, pool };
        for (const peer of open.values()) send(peer, query);
        cancelResend = clock.startTimer(RESEND_INTERVAL_MS, sendOpen);
      };
      const cancelTimeout = startSilenceTimer(
        clock,
        ANSWER_TIMEOUT_MS,
        () => settle(),
      );
      this.#pending.set(ask, {
        onAnswer: (answer) => {
          const { vm, pool: from, version } = answer;
          if (from !== undefined && version !== undefined) {
            return settle({ pool: from, version }, vm);
          }
          if (!open.delete(vm)) return;
          const list = toPosition(answer);
          versions.push({ versions: toPoolVersions(answer), list });
          if (open.size === 0) settle();
        },
      });
      sendOpen();
      if (open.size === 0) settle();
    });
  }

  /** Handles an answer; one that arrives after the timeout is ignored. */
  noteAnswer(answer: OriginAnswerMessage): void {
    this.#pending.get(answer.ask)?.onAnswer(answer);
  }
}

function toPosition(
  { listRevision: revision, listEra: era }: OriginAnswerMessage,
): ListPosition | undefined {
  return revision === undefined ? undefined : { era, revision };
}

function toPoolVersions(
  { onlyVersion, hasSeveral }: OriginAnswerMessage,
): PoolVersions {
  if (hasSeveral) return { kind: "several" };
  return onlyVersion === undefined
    ? { kind: "unknown" }
    : { kind: "only", version: onlyVersion };
}
