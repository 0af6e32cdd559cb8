/**
 * Shuts down a routed VM without aborting requests.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import type { DrainAdmission } from "./drain_admission.ts";
import type { Log } from "./log.ts";
import type { RoutedSettings } from "./routed_settings.ts";

/**
 * Callers use a directory's answer for up to this many times its time to live.
 */
const TTL_FACTOR = 3;
const TTL_MARGIN_MS = 300;
/** A busy process may read a request so long after it was sent. */
const READ_MARGIN_MS = 500;
/** Time reserved for the shutdown before the platform kills the process. */
const SHUTDOWN_MARGIN_MS = 400;
/** Time in which the last answers are written, as part of the shutdown. */
const FLUSH_MS = 100;
const IN_FLIGHT_POLL_MS = 25;

/** Options of `runDrain`. */
export interface DrainOptions {
  clock: Clock;
  log: Log;
  settings: Pick<RoutedSettings, "directoryTtlMs" | "drainGraceMs">;
  /** `Clock.now()` since when the signal may have waited to be handled. */
  signalledSince: number;
  getInFlight: () => number;
  /** Number of other VMs that serve callers. */
  countOthers: () => number;
  admission: DrainAdmission;
  announceNow: () => void;
  /** Accepts no more callers; resolves when the last one has its answer. */
  closeCallers: () => Promise<void>;
  /** Ends all requests, and refuses those whose answers have not begun. */
  cancelRequests: () => void;
  /** Stops the VM at once. */
  stop: () => Promise<void>;
}

/**
 * Sends new callers to other VMs at once, serves those that still use this
 * address, and then finishes the requests in flight, as far as the grace period
 * allows. Meanwhile it takes what ends within that time. The platform counts the
 * grace period from when it sent the signal.
 */
export async function runDrain(options: DrainOptions): Promise<void> {
  const { clock, log, getInFlight, signalledSince, admission } = options;
  const { directoryTtlMs, drainGraceMs } = options.settings;
  const startedAt = clock.now();
  log.info("drain_started", {
    in_flight: getInFlight(),
    max_late_ms: Math.round(startedAt - signalledSince),
    others: options.countOthers(),
  });
  const addressedMs = TTL_FACTOR * directoryTtlMs;
  const endsAt = signalledSince + drainGraceMs - SHUTDOWN_MARGIN_MS;
  admission.startDraining({
    addressedUntil: signalledSince + addressedMs - READ_MARGIN_MS,
    endsAt,
  });
  options.announceNow();
  const openUntil = startedAt + addressedMs + TTL_MARGIN_MS;
  await sleepUntil(clock, Math.min(openUntil, endsAt));
  while (getInFlight() > 0 && clock.now() < endsAt) {
    await clock.sleep(IN_FLIGHT_POLL_MS);
  }
  const closed = options.closeCallers();
  const cut = getInFlight();
  if (cut > 0) {
    log.warn("drain_cut", { in_flight: cut });
    options.cancelRequests();
  }
  const flushUntil = Math.max(endsAt, clock.now()) + FLUSH_MS;
  await Promise.race([closed, sleepUntil(clock, flushUntil)]);
  await options.stop();
  log.info("drain_ended", {
    ms: Math.round(clock.now() - startedAt),
    refused: admission.refused,
  });
}

async function sleepUntil(clock: Clock, at: number): Promise<void> {
  await clock.sleep(Math.max(0, at - clock.now()));
}
