/**
 * Compares what callers were told with what the upstreams did.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Account } from "./callers.ts";
import { fetchJson } from "./http_call.ts";

const CANCEL_WAIT_MS = 3_000;
const CANCEL_POLL_MS = 100;

/** Where the stand-ins listen. */
export interface UpstreamPorts {
  enginePorts: readonly number[];
  servicePorts: readonly number[];
}

/** What the stand-ins saw. */
interface Seen {
  /** Runs at the engines by request id. */
  runs: Map<string, RunBody[]>;
  /** Calls that a service worked on, look-ups too, by request id. */
  calls: Map<string, number>;
  /** Posts carried out by request id. */
  executions: Map<string, number>;
}

interface RunBody {
  requestId: string;
  resumedFrom: number;
  tokens: number;
  end?: string;
}

/** What the check found. */
export interface PromiseReport {
  /** Promises that were broken, in words. */
  broken: string[];
  /** Tokens that engines generated, and those that whole answers needed. */
  generatedTokens: number;
  neededTokens: number;
}

/** Asks every stand-in and compares. */
export async function checkPromises(
  fleet: UpstreamPorts,
  accounts: readonly Account[],
): Promise<PromiseReport> {
  const cancelled = accounts
    .filter((account) => account.outcome.kind === "cancelled");
  const seen = await collectSettled(fleet, cancelled);
  const answered = new Set(
    accounts
      .filter((account) => account.outcome.kind === "answered")
      .map((account) => account.requestId),
  );
  const broken = [
    ...accounts.flatMap((account) => listBroken(account, { seen, answered })),
    ...cancelled.flatMap((account) => listUncancelled(account, seen)),
  ];
  const runs = [...seen.runs.values()].flat();
  return {
    broken: [...new Set(broken)],
    generatedTokens: runs.reduce((sum, run) => sum + run.tokens, 0),
    neededTokens: accounts.reduce(
      (sum, account) => sum + countNeeded(account, seen),
      0,
    ),
  };
}

function listBroken(
  account: Account,
  facts: { seen: Seen; answered: ReadonlySet<string | undefined> },
): string[] {
  const { seen, answered } = facts;
  const { requestId, outcome, request } = account;
  if (requestId === undefined) return [];
  const name = `${request.className} ${requestId}`;
  const executions = seen.executions.get(requestId) ?? 0;
  const runs = seen.runs.get(requestId)?.length ?? 0;
  const calls = seen.calls.get(requestId) ?? 0;
  const isPost = request.expected.kind === "post";
  const broken: string[] = [];
  if (executions > 1) {
    broken.push(`${name} was carried out ${executions} times`);
  }
  if (isPost && outcome.kind === "answered" && executions === 0) {
    broken.push(`${name} was answered and never carried out`);
  }
  const wasTold = outcome.kind === "refused" || outcome.kind === "lost";
  const wasToldNotRun = wasTold && outcome.outcome === "not_run";
  // A request that was not run may be sent again under its id, and run then.
  if (wasToldNotRun && !answered.has(requestId) && calls + runs > 0) {
    broken.push(`${name} was told not_run and ran`);
  }
  return broken;
}

function listUncancelled(account: Account, seen: Seen): string[] {
  const runs = seen.runs.get(account.requestId ?? "") ?? [];
  return runs
    .filter((run) => run.end === undefined || run.end === "stop")
    .map(() => `${account.requestId} left, and its work went on`);
}

function countNeeded(account: Account, seen: Seen): number {
  if (account.outcome.kind !== "answered") return 0;
  const runs = seen.runs.get(account.requestId ?? "") ?? [];
  return Math.max(0, ...runs.map((run) => run.resumedFrom + run.tokens));
}

/** Waits a while for the work of callers that left to end. */
async function collectSettled(
  fleet: UpstreamPorts,
  cancelled: readonly Account[],
): Promise<Seen> {
  let seen = await collectSeen(fleet);
  const polls = CANCEL_WAIT_MS / CANCEL_POLL_MS;
  for (let count = 0; count < polls; count++) {
    const ids = cancelled.map((account) => account.requestId ?? "");
    const runs = ids.flatMap((id) => seen.runs.get(id) ?? []);
    if (runs.every((run) => run.end !== undefined)) break;
    await sleep(CANCEL_POLL_MS);
    seen = await collectSeen(fleet);
  }
  return seen;
}

async function collectSeen(fleet: UpstreamPorts): Promise<Seen> {
  const seen: Seen = {
    runs: new Map(),
    calls: new Map(),
    executions: new Map(),
  };
  for (const port of fleet.enginePorts) {
    const call = { port, method: "GET", path: "/control/runs" };
    const { runs } = await fetchJson<{ runs: RunBody[] }>(call);
    for (const run of runs) {
      const known = seen.runs.get(run.requestId) ?? [];
      seen.runs.set(run.requestId, [...known, run]);
    }
  }
  for (const port of fleet.servicePorts) {
    const call = { port, method: "GET", path: "/control/counts" };
    const body = await fetchJson<{
      calls: Record<string, number>;
      executions: Record<string, number>;
    }>(call);
    addCounts(seen.calls, body.calls);
    addCounts(seen.executions, body.executions);
  }
  return seen;
}

function addCounts(
  sums: Map<string, number>,
  counts: Record<string, number>,
): void {
  for (const [id, count] of Object.entries(counts)) {
    sums.set(id, (sums.get(id) ?? 0) + count);
  }
}
