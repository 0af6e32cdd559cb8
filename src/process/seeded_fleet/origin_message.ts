/**
 * Datagrams about where streams began.
 *
 * @module
 */
import * as z from "zod";
import type { PoolName, SoftwareVersion, StreamKey, VmId } from "../../ids.ts";

const TEXT = z.string();
const COUNT = z.number();
const VM = TEXT.transform((text) => text as VmId);
const STREAM_KEY = TEXT.transform((text) => text as StreamKey);
const POOL = TEXT.transform((text) => text as PoolName);
const VERSION = TEXT.transform((text) => text as SoftwareVersion);

/**
 * Schema of the message that is sent when a stream begins. If it is lost, the
 * stream may be refused when it is taken up, but never goes on elsewhere.
 */
export const ORIGIN = z.object({
  kind: z.literal("origin"),
  key: STREAM_KEY,
  pool: POOL,
  version: VERSION,
  /**
   * Key of the stream's content; undefined where nothing of it is its own, and
   * from older versions.
   */
  contentKey: STREAM_KEY.optional(),
});

/** Schema of a query for where a stream began. */
export const ORIGIN_QUERY = z.object({
  kind: z.literal("origin_query"),
  /** Number of the query, counted by the sender. */
  ask: COUNT,
  key: STREAM_KEY,
  /** The pool that the stream would go on in. */
  pool: POOL,
});

/** Schema of the answer to such a query. */
export const ORIGIN_ANSWER = z.object({
  kind: z.literal("origin_answer"),
  ask: COUNT,
  vm: VM,
  /** Where the stream began; undefined if the sender does not know. */
  pool: POOL.optional(),
  version: VERSION.optional(),
  /**
   * The only version in the asked pool for as long as a stream may last;
   * undefined if there were several or the sender cannot tell.
   */
  onlyVersion: VERSION.optional(),
  /** Whether there were several. */
  hasSeveral: z.boolean().optional(),
  /** Revision of the sender's list; undefined from older software. */
  listRevision: COUNT.optional(),
  /** Era of that list; undefined for none. */
  listEra: COUNT.optional(),
});

/** Where a stream began, from the VM that began it. */
export type OriginMessage = z.infer<typeof ORIGIN>;
/** Query for where a stream began. */
export type OriginQueryMessage = z.infer<typeof ORIGIN_QUERY>;
/** Answer to such a query. */
export type OriginAnswerMessage = z.infer<typeof ORIGIN_ANSWER>;
