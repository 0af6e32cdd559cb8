/**
 * Schemas of engine reports and commands, as specified in docs/PLATFORM.md.
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

/** Parses a load report; throws `ZodError` if it is invalid. */
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

/** Parses a list of cache events; throws `ZodError` if it is invalid. */
export function parseCacheEvents(value: unknown): CacheEvent[] {
  return CACHE_EVENTS.parse(value).events;
}

/** The number of imported prefixes; undefined if the engine reports none. */
export function parseImported(value: unknown): number | undefined {
  return IMPORTED.safeParse(value).data?.imported;
}

/** Encodes a command as JSON for an engine. */
export function formatCommand(command: EngineCommand): string {
  return JSON.stringify({
    action: command.action,
    model: command.model,
    version: command.version,
    adapter: command.adapter,
    role: command.role,
    fencing: command.fencing,
  });
}
