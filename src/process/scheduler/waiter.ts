/**
 * A request that waits in a shard's queue.
 *
 * @module
 */
import type { ClassName, TicketId, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";
import type { AcquireAnswer, AcquireCall } from "../peer_api.ts";

/**
 * What a fair queue orders requests by; times are milliseconds of the owner's
 * monotonic clock.
 */
export interface FairQueueEntry {
  readonly workspace: WorkspaceName;
  readonly arrivedAt: number;
  /** Arrival number; breaks ties. */
  readonly sequence: number;
  /** Latest grant that still meets the targets. */
  readonly startBy: number;
  /** Expected tokens, the unit of fair sharing. */
  readonly cost: number;
  /** Whether `cost` is learnt from finished requests rather than a cap. */
  readonly isCostLearnt: boolean;
}

/** A queued request; times are milliseconds of the owner's monotonic clock. */
export interface QueueEntry extends FairQueueEntry {
  readonly ticket: TicketId;
  readonly className: ClassName;
  /** Name of the model that the request needs; empty if it needs none. */
  readonly modelKey: string;
  /** Rank of the tier; lower ranks are served first. */
  readonly rank: number;
  readonly requestClass: RequestClass;
  /** Weight of the workspace relative to others in the class. */
  readonly weight: number;
  /**
   * When the entry is dropped because its answer would be useless. Infinite if
   * late answers are useful or a stream is resumed.
   */
  readonly dropAt: number;
  /** Whether it resumes a broken or preempted stream. */
  readonly isResumed: boolean;
  /** Expected time in a slot, in milliseconds. */
  readonly slotMs: number;
}

/** A queue entry with its pending acquire call. */
export interface Waiter extends QueueEntry {
  /** The ticket's latest call. */
  call: AcquireCall;
  readonly deadlineAt: number;
  /** Whether its slot time is far above that of the shortest class. */
  readonly isLong: boolean;
  /** Whether it is granted ahead of a waiting higher tier. */
  isPromoted: boolean;
  /** Since when no upstream can serve it; undefined while one can. */
  unservedSince: number | undefined;
  /** The waiter is dropped unless its call is repeated by then. */
  renewBy: number;
  /** Answers the pending long poll; undefined between two calls. */
  answer: ((answer: AcquireAnswer) => void) | undefined;
}
