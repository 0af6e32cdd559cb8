/**
 * Measures control traffic, processor time and memory per VM, idle and under
 * load.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { sendChat } from "../../test/support/process_calls.ts";
import type { ProcessFleet } from "../../test/support/process_fleet.ts";
import { runWithFleet } from "./bench_fleet.ts";

const SETTLE_MS = 5_000;
const OBSERVATION_MS = 20_000;
const REQUESTS_PER_SECOND = 48;
const TOKENS = 40;
const BYTES_PER_MB = 1_048_576;
/** 0-based fields of `/proc/PID/stat` after the process name. */
const USER_TICKS = 11;
const SYSTEM_TICKS = 12;

/**
 * Means per VM; `largest…` is the maximum of all VMs. The counts and the rate of
 * requests are of the whole fleet.
 */
export interface CostFigures {
  requestsPerSecond: number;
  answered: number;
  notAnswered: number;
  /** Bytes sent to and received from other VMs. */
  peerBytesPerSecond: number;
  /** Bytes sent to and received from the configuration service. */
  serviceBytesPerSecond: number;
  /** Processor time as a share of one core. */
  coreShare: number;
  largestCoreShare: number;
  residentMb: number;
  largestResidentMb: number;
}

/** Measures an idle fleet, then the same fleet under load. */
export async function runCosts(): Promise<
  { idle: CostFigures; loaded: CostFigures }
> {
  return await runWithFleet({
    relays: ["peers", "platform"],
    records: { engineSlots: 16 },
  }, async (fleet) => {
    await sleep(SETTLE_MS);
    const idle = await collectCosts(fleet, 0);
    const loaded = await collectCosts(fleet, REQUESTS_PER_SECOND);
    return { idle, loaded };
  });
}

async function collectCosts(
  fleet: ProcessFleet,
  requestsPerSecond: number,
): Promise<CostFigures> {
  const load = runLoad(fleet, requestsPerSecond);
  if (requestsPerSecond > 0) await sleep(SETTLE_MS);
  const startedAt = performance.now();
  const before = readCosts(fleet);
  await sleep(OBSERVATION_MS);
  const after = readCosts(fleet);
  const seconds = (performance.now() - startedAt) / 1_000;
  const vms = fleet.vms.length;
  const shares = after.seconds.map((value, index) =>
    (value - before.seconds[index]!) / seconds
  );
  const { answered, notAnswered } = await load;
  return {
    requestsPerSecond,
    answered,
    notAnswered,
    // Counted twice: each byte is sent by one VM and received by another.
    peerBytesPerSecond: 2 * (after.peers - before.peers) / vms / seconds,
    serviceBytesPerSecond: (after.service - before.service) / vms / seconds,
    coreShare: computeMean(shares),
    largestCoreShare: Math.max(...shares),
    residentMb: computeMean(after.residentMb),
    largestResidentMb: Math.max(...after.residentMb),
  };
}

async function runLoad(fleet: ProcessFleet, requestsPerSecond: number) {
  const counts = { answered: 0, notAnswered: 0 };
  if (requestsPerSecond === 0) return counts;
  const endsAt = performance.now() + SETTLE_MS + OBSERVATION_MS;
  const sent: Promise<void>[] = [];
  for (let index = 0; performance.now() < endsAt; index++) {
    const { port } = fleet.vms[index % fleet.vms.length]!;
    const name = `cost-${index}`;
    sent.push(
      sendChat(port, { tokens: TOKENS, name }).then(({ outcome }) => {
        if (outcome.kind === "answered") counts.answered++;
        else counts.notAnswered++;
      }),
    );
    await sleep(1_000 / requestsPerSecond);
  }
  await Promise.all(sent);
  return counts;
}

function readCosts(fleet: ProcessFleet) {
  let peers = 0;
  let service = 0;
  for (const [name, relay] of fleet.relays) {
    if (name.startsWith("platform:")) service += relay.bytes;
    else peers += relay.bytes;
  }
  return {
    peers,
    service,
    seconds: fleet.vms.map(({ pid }) => readProcessorSeconds(pid)),
    residentMb: fleet.vms.map(({ pid }) => readResidentMb(pid)),
  };
}

function readProcessorSeconds(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[USER_TICKS]) + Number(fields[SYSTEM_TICKS]);
  return ticks / getSystemValue("CLK_TCK");
}

function readResidentMb(pid: number): number {
  const [, pages] = readFileSync(`/proc/${pid}/statm`, "utf8").split(" ");
  return Number(pages) * getSystemValue("PAGESIZE") / BYTES_PER_MB;
}

function getSystemValue(name: "CLK_TCK" | "PAGESIZE"): number {
  return Number(execFileSync("getconf", [name], { encoding: "utf8" }));
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
