/**
 * Measures how callers that use `GET /v1/entries` are distributed over the VMs,
 * and how many of their calls reach a killed VM.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { fetchJson } from "../../demo/http_call.ts";
import { sendLookup } from "../../test/support/process_calls.ts";
import type { ProcessFleet } from "../../test/support/process_fleet.ts";
import { runWithFleet, VMS } from "./bench_fleet.ts";

const CALLERS = 800;
const ACTIVE_CALLERS = 80;
const CALL_EVERY_MS = 500;
const TTL_MS = 10_000;
const BEFORE_KILL_MS = 4_000;
const AFTER_KILL_MS = 20_000;

/** Figures of the callers. */
export interface CallerFigures {
  /**
   * Number of callers per VM by their first entry: minimum, maximum and mean.
   */
  balance: { callers: number; least: number; most: number; mean: number };
  afterKill: {
    calls: number;
    /** Connections refused at the killed VM's address. */
    refusedConnects: number;
    /** Calls whose connection broke. */
    cut: number;
    /** Calls that were not answered by any entry. */
    notAnswered: number;
    /** Time from the kill to the last refused connection, in milliseconds. */
    lastHitMs: number;
  };
}

interface Entry {
  vm: string;
  port: number;
}

/** Measures the balance, then kills one VM while callers send calls. */
export async function runCallers(): Promise<CallerFigures> {
  return await runWithFleet({ entriesTtlMs: TTL_MS }, async (fleet) => {
    const balance = await collectBalance(fleet);
    const afterKill = await runKill(fleet);
    return { balance, afterKill };
  });
}

async function collectBalance(fleet: ProcessFleet) {
  const counts = new Map(fleet.vms.map(({ id }) => [id, 0]));
  for (let index = 0; index < CALLERS; index++) {
    const centre = fleet.list[index % VMS]!.data_centre;
    const { port } = fleet.vms[(index * 3) % VMS]!;
    const [entry] = await fetchEntries(port, centre);
    counts.set(entry!.vm, counts.get(entry!.vm)! + 1);
  }
  const all = [...counts.values()];
  return {
    callers: CALLERS,
    least: Math.min(...all),
    most: Math.max(...all),
    mean: CALLERS / VMS,
  };
}

async function runKill(fleet: ProcessFleet) {
  const killed = fleet.vms.at(-1)!;
  const figures = {
    calls: 0,
    refusedConnects: 0,
    cut: 0,
    notAnswered: 0,
    lastHitMs: 0,
  };
  let killedAt = Infinity;
  const endsAt = Date.now() + BEFORE_KILL_MS + AFTER_KILL_MS;
  const runCaller = async (number: number) => {
    const centre = fleet.list[number % VMS]!.data_centre;
    await sleep(number * CALL_EVERY_MS / ACTIVE_CALLERS);
    let entries = await fetchEntries(fleet.vms[number % VMS]!.port, centre);
    let expiresAt = Date.now() + TTL_MS;
    while (Date.now() < endsAt) {
      if (Date.now() >= expiresAt) {
        entries = await fetchAnyEntries(entries, centre);
        expiresAt = Date.now() + TTL_MS;
      }
      let isAnswered = false;
      for (const [place, entry] of entries.entries()) {
        const name = `caller-${number}-${place}`;
        const { result, outcome } = await sendLookup(entry.port, name);
        if (result.kind === "not_connected") {
          figures.refusedConnects++;
          figures.lastHitMs = Date.now() - killedAt;
          continue;
        }
        if (result.kind === "broken") {
          figures.cut++;
          continue;
        }
        isAnswered = outcome.kind === "answered";
        break;
      }
      if (Date.now() >= killedAt) figures.calls++;
      if (!isAnswered) figures.notAnswered++;
      await sleep(CALL_EVERY_MS);
    }
  };
  const callers = Array.from(
    { length: ACTIVE_CALLERS },
    (_, number) => runCaller(number),
  );
  await sleep(BEFORE_KILL_MS);
  killedAt = Date.now();
  await killed.destroy();
  await Promise.all(callers);
  return figures;
}

/**
 * Refreshes the entries from the first entry that answers, as a caller does
 * after the TTL.
 */
async function fetchAnyEntries(
  entries: readonly Entry[],
  centre: string,
): Promise<Entry[]> {
  for (const { port } of entries) {
    try {
      return await fetchEntries(port, centre);
    } catch {
      // Tries the next entry.
    }
  }
  return [...entries];
}

async function fetchEntries(port: number, centre: string): Promise<Entry[]> {
  const path = `/v1/entries?data_centre=${centre}`;
  const answer = await fetchJson<{ entries: Entry[] }>(
    { port, method: "GET", path },
  );
  return answer.entries;
}
