/**
 * How a routed VM ends without cutting a request off.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/** Callers keep a directory's answer up to so many times its time to live. */
const TTL_FACTOR = 3;
const TTL_MARGIN_MS = 300;
/** Before the platform kills the process, in milliseconds. */
const END_MARGIN_MS = 300;
const IN_FLIGHT_CHECK_MS = 25;

/** What ending needs of a VM. */
export interface DrainParts {
  clock: Clock;
  log: Log;
  settings: Pick<RoutedSettings, "directoryTtlMs" | "drainGraceMs">;
  getInFlight: () => number;
  announceAtOnce: () => void;
  /** Accepts no more callers; resolves when the last one has its answer. */
  closeCallers: () => Promise<void>;
  /** Ends at once. */
  stop: () => Promise<void>;
}

/**
 * Sends callers elsewhere at once, serves those that still hold the address,
 * and then finishes what is in flight, as far as there is time.
 */
export async function runDrain(parts: DrainParts): Promise<void> {
  const { clock, log, getInFlight } = parts;
  const { directoryTtlMs, drainGraceMs } = parts.settings;
  const startedAt = clock.now();
  log.info("drain_started", { in_flight: getInFlight() });
  parts.announceAtOnce();
  await clock.sleep(TTL_FACTOR * directoryTtlMs + TTL_MARGIN_MS);
  const closed = parts.closeCallers();
  const endsAt = startedAt + drainGraceMs - END_MARGIN_MS;
  while (getInFlight() > 0 && clock.now() < endsAt) {
    await clock.sleep(IN_FLIGHT_CHECK_MS);
  }
  const cut = getInFlight();
  if (cut > 0) log.warn("drain_cut", { in_flight: cut });
  else await closed;
  await parts.stop();
  log.info("drain_ended", { ms: Math.round(clock.now() - startedAt) });
}
