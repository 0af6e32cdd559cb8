/**
 * Schemas of datagrams with evidence about crashes.
 *
 * @module
 */
import * as z from "zod";
import type {
  Incarnation,
  PartKey,
  PoolName,
  RequestFingerprint,
} from "../../ids.ts";

const COUNT = z.number();
const INCARNATION = z.string().transform((text) => text as Incarnation);
const POOL = z.string().transform((text) => text as PoolName);
const PART = z.string().transform((text) => text as PartKey);
const FINGERPRINT = z.string()
  .transform((text) => text as RequestFingerprint);

/** Evidence about crashes. */
export const SUSPECTS = z.object({
  kind: z.literal("suspects"),
  /**
   * Requests under which replicas crashed: age of each crash, whether there was
   * any output before, and time since the request was answered completely.
   */
  entries: z.array(z.tuple([
    FINGERPRINT,
    z.array(z.tuple([
      INCARNATION,
      COUNT,
      z.boolean(),
    ])),
    COUNT,
  ])),
  /**
   * Requests that crashes cut off: age of the crash, time since the request was
   * sent, pool, shared parts of its prompt, its fingerprint and the number of
   * replicas. Undefined from older versions.
   */
  reports: z.array(z.tuple([
    INCARNATION,
    COUNT,
    COUNT,
    POOL,
    z.array(PART),
    FINGERPRINT,
    COUNT,
  ])).optional(),
  /** Time since the last answer to each part began. */
  answers: z.array(z.tuple([PART, COUNT])).optional(),
  /** Whether it answers a query, which it may do with nothing to tell. */
  isAnswer: z.boolean().optional(),
});

/** Asks for evidence about crashes; sent by a VM that may have missed some. */
export const NEWS_QUERY = z.object({ kind: z.literal("news_query") });

/** Evidence about crashes. */
export type SuspectsMessage = z.infer<typeof SUSPECTS>;
