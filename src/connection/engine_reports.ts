/**
 * The shapes of engines' own reports, as docs/PLATFORM.md gives them.
 *
 * @module
 */
import { z } from "zod";
import type {
  CacheEvent,
  EngineCommand,
  LoadReport,
} from "./upstream_transport.ts";

const COUNT = z.number().int().nonnegative();

const LOAD = z.object({
  age_ms: z.number().nonnegative(),
  running: COUNT,
  waiting: COUNT,
  cache_used: z.number().min(0).max(1),
  leaving: z.boolean(),
  models: z.array(z.object({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()),
  })),
  role: z.string(),
  fencing: COUNT,
  cache_sequence: COUNT,
});

const CACHE_EVENTS = z.object({
  events: z.array(z.object({
    sequence: COUNT,
    prefix: z.string(),
    change: z.enum(["stored", "evicted"]),
  })),
});

const IMPORTED = z.object({ imported: COUNT });

/** Checks a load report; throws `ZodError`. */
export function parseLoadReport(value: unknown): LoadReport {
  const load = LOAD.parse(value);
  return {
    ageMs: load.age_ms,
    running: load.running,
    waiting: load.waiting,
    cacheUsed: load.cache_used,
    leaving: load.leaving,
    models: load.models,
    role: load.role,
    fencing: load.fencing,
    cacheSequence: load.cache_sequence,
  };
}

/** Checks a list of cache events; throws `ZodError`. */
export function parseCacheEvents(value: unknown): CacheEvent[] {
  return CACHE_EVENTS.parse(value).events;
}

/** How many prefixes an engine says it took; undefined if it says nothing. */
export function parseImported(value: unknown): number | undefined {
  return IMPORTED.safeParse(value).data?.imported;
}

/** Writes an order as engines read it. */
export function formatCommand(order: EngineCommand): string {
  return JSON.stringify({
    action: order.action,
    model: order.model,
    version: order.version,
    adapter: order.adapter,
    role: order.role,
    fencing: order.fencing,
  });
}
