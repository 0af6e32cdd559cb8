/**
 * Renders the recovery figures as a table.
 *
 * @module
 */
import type { CallerFigures } from "./callers.ts";
import type { ChangeFigures } from "./changes.ts";
import type { CostFigures } from "./costs.ts";
import type { LeavingFigures } from "./leaving.ts";
import type { LossFigures } from "./losses.ts";
import type { RestartFigures } from "./restarts.ts";
import type { Summary } from "./summary.ts";

/** All figures; members that were not measured are absent. */
export interface RecoveryFigures {
  /** One-minute load average of the machine, which may be shared. */
  loadAverage: { before: number; after?: number };
  changes?: ChangeFigures;
  losses?: LossFigures;
  leaving?: LeavingFigures;
  callers?: CallerFigures;
  restarts?: RestartFigures[];
  costs?: { idle: CostFigures; loaded: CostFigures };
}

/** Renders the figures that are present; times in milliseconds. */
export function renderFigures(figures: RecoveryFigures): string {
  const lines: string[] = [];
  const { changes, losses, leaving, callers, restarts, costs } = figures;
  lines.push(renderRow("time in ms", ["count", "p50", "p99", "worst"]));
  if (changes) {
    lines.push(renderTimes("change active, service up", changes.serviceUp));
    lines.push(renderTimes("change active, two readers", changes.twoReaders));
  }
  if (losses) {
    lines.push(renderTimes("dead VM detected, first", losses.noticedFirst));
    lines.push(renderTimes("dead VM detected, last", losses.noticedByAll));
    lines.push(renderTimes("shard taken over", losses.shardTaken));
    lines.push(renderTimes("first answer after it", losses.firstAnswer));
    lines.push(renderTimes("longest wait after it", losses.longestWait));
  }
  if (leaving) {
    lines.push(renderTimes("last new work, by list", leaving.byList));
    lines.push(renderTimes("last new work, by notice", leaving.byOwnWord));
  }
  for (const { killed, service, allServe, allReady } of restarts ?? []) {
    const what = `${killed} killed, service ${service}`;
    lines.push(renderTimes(`${what}: serve`, allServe));
    lines.push(renderTimes(`${what}: ready`, allReady));
  }
  if (changes) {
    lines.push(
      `service calls per second: ${formatCalls(changes.callsPerSecond)}`,
    );
  }
  if (losses) {
    lines.push(
      `requests during losses: ${losses.requests}, ` +
        `not answered ${losses.notAnswered}`,
    );
  }
  if (leaving) {
    lines.push(
      `requests while engines left: ${leaving.requests}, ` +
        `not answered ${leaving.notAnswered}`,
    );
  }
  if (callers) lines.push(...renderCallers(callers));
  if (costs) {
    lines.push(renderCost("idle", costs.idle));
    lines.push(renderCost("loaded", costs.loaded));
  }
  return lines.join("\n");
}

function renderTimes(what: string, summary: Summary): string {
  const { count, p50, p99, worst } = summary;
  return renderRow(what, [count, p50, p99, worst].map(String));
}

function renderRow(what: string, cells: readonly string[]): string {
  return what.padEnd(34) + cells.map((cell) => cell.padStart(8)).join("");
}

function formatCalls(calls: ChangeFigures["callsPerSecond"]): string {
  return `${calls.serviceUp.toFixed(2)} with the service up, ` +
    `${calls.twoReaders.toFixed(2)} with two readers`;
}

function renderCallers({ balance, afterKill }: CallerFigures): string[] {
  return [
    `first entries of ${balance.callers} callers: least ${balance.least}, ` +
    `most ${balance.most}, mean ${balance.mean} per VM`,
    `after a kill: ${afterKill.calls} calls, ${afterKill.refusedConnects} ` +
    `refused connections, ${afterKill.cut} broken, ${afterKill.notAnswered} ` +
    `not answered; last hit after ${afterKill.lastHitMs} ms`,
  ];
}

function renderCost(what: string, cost: CostFigures): string {
  return `${what}: ${cost.requestsPerSecond} requests/s, ` +
    `${cost.notAnswered} not answered; per VM ` +
    `${Math.round(cost.peerBytesPerSecond)} B/s between VMs, ` +
    `${Math.round(cost.serviceBytesPerSecond)} B/s with the service, ` +
    `${(100 * cost.coreShare).toFixed(2)}% of a core ` +
    `(largest ${(100 * cost.largestCoreShare).toFixed(2)}%), ` +
    `${cost.residentMb.toFixed(0)} MB ` +
    `(largest ${cost.largestResidentMb.toFixed(0)} MB)`;
}
