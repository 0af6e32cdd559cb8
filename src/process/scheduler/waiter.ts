/**
 * One request that waits in a shard's queue.
 *
 * @module
 */
import type { ClassName, TicketId, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";
import type { AcquireAnswer, AcquireCall } from "../peer_api.ts";

/** What the queue orders by; times are the owner's monotonic clock. */
export interface QueueEntry {
  readonly ticket: TicketId;
  readonly className: ClassName;
  readonly workspace: WorkspaceName;
  /** Requests that need the same model stand in one lane. */
  readonly modelKey: string;
  readonly rank: number;
  readonly requestClass: RequestClass;
  /** The workspace's weight against others of the class. */
  readonly weight: number;
  readonly arrivedAt: number;
  /** Counts entries: breaks ties by order of coming. */
  readonly sequence: number;
  /** Granted later than this, it misses a target. */
  readonly startBy: number;
  /** Past this an answer is useless; infinite where late is useful. */
  readonly dropAt: number;
  /** A broken or preempted stream that is to be resumed. */
  readonly isResumed: boolean;
  /** Expected tokens, the unit of fair sharing. */
  readonly cost: number;
  /** Whether `cost` rests on finished requests and not on a cap. */
  readonly isCostLearnt: boolean;
  /** Expected time in a slot. */
  readonly slotMs: number;
}

/** An entry with the call that is to be answered. */
export interface Waiter extends QueueEntry {
  /** The latest call of the ticket. */
  call: AcquireCall;
  readonly deadlineAt: number;
  readonly isLong: boolean;
  /** It is granted before a higher tier that waits. */
  isPromoted: boolean;
  /** Since when no upstream serves it; undefined while one does. */
  unservedSince: number | undefined;
  /** The waiter leaves the queue unless its call comes again by then. */
  renewBy: number;
  /** Answers the call that is held now; undefined between two calls. */
  answer: ((answer: AcquireAnswer) => void) | undefined;
}
