/**
 * `persimmonslip status`, `versions`, `entries`, `drain` and `fate`.
 *
 * @module
 */
import { buildExplanation, renderExplanation } from "./request_explanation.ts";
import { readStatusFromLogs } from "./request_status_logs.ts";
import {
  DRAIN_ANSWER,
  ENTRIES_ANSWER,
  REQUEST_STATUS_ANSWER,
  STATUS_ANSWER,
  type StatusAnswer,
  type VersionDecision,
  VERSIONS_ANSWER,
} from "./operator_answers.ts";
import { formatDuration, renderTable } from "./table.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_FINDING, EXIT_OK } from "./tool_error.ts";
import { isConnectionRefused } from "./http_client.ts";
import type { VmClient } from "./vm_client.ts";

const POLL_INTERVAL_MS = 1_000;
const NO_VALUE = "-";

/** Shows the state of the fleet as seen by one VM. */
export async function runStatus(client: VmClient): Promise<ToolResult> {
  const status = await client.fetch("/v1/status", STATUS_ANSWER);
  return { text: renderStatus(status), json: status, exitCode: EXIT_OK };
}

/** Shows the configuration version of each VM, its age and source. */
export async function runVersions(client: VmClient): Promise<ToolResult> {
  const answer = await client.fetch("/v1/versions", VERSIONS_ANSWER);
  const rows = answer.vms.map((vm) => [
    vm.vm,
    formatNumber(vm.version),
    vm.since_ms == null ? NO_VALUE : formatDuration(vm.since_ms),
    vm.from ?? NO_VALUE,
  ]);
  return {
    text: renderTable(["VM", "VERSION", "SINCE", "FROM"], rows) +
      renderUnaccepted(answer.history),
    json: answer,
    exitCode: EXIT_OK,
  };
}

/** Shows the entry VM addresses that callers get. */
export async function runEntries(
  client: VmClient,
  options: { dataCentre?: string | undefined },
): Promise<ToolResult> {
  const query = options.dataCentre === undefined
    ? ""
    : `?data_centre=${encodeURIComponent(options.dataCentre)}`;
  const answer = await client.fetch(`/v1/entries${query}`, ENTRIES_ANSWER);
  const rows = answer.entries.map((entry) => [
    entry.vm,
    entry.data_centre,
    `${entry.address}:${entry.port}`,
  ]);
  return {
    text: renderTable(["VM", "DATA CENTRE", "ADDRESS"], rows) +
      `Callers may cache this for ${formatDuration(answer.ttl_ms)}\n`,
    json: answer,
    exitCode: EXIT_OK,
  };
}

/** Starts a drain; with `wait`, resolves once the VM has exited. */
export async function runDrain(
  context: ToolContext,
  client: VmClient,
  options: { wait: boolean },
): Promise<ToolResult> {
  const answer = await client.send("/v1/drain", DRAIN_ANSWER);
  if (!options.wait) {
    const left = answer.in_flight === undefined
      ? ""
      : `, ${answer.in_flight} requests in flight`;
    return {
      text: `The VM is draining${left}\n`,
      json: answer,
      exitCode: EXIT_OK,
    };
  }
  await waitForExit(context, client);
  return {
    text: "The VM has drained and exited\n",
    json: { ...answer, ended: true },
    exitCode: EXIT_OK,
  };
}

/** Explains a request's status; exit code 1 if none is known. */
export async function runFate(
  requestId: string,
  source: { client: () => VmClient; logs: readonly string[] },
): Promise<ToolResult> {
  const page = source.logs.length > 0
    ? await readStatusFromLogs(requestId, source.logs)
    : await source.client().find(
      `/v1/requests/${encodeURIComponent(requestId)}`,
      REQUEST_STATUS_ANSWER,
    );
  if (page === undefined) return buildUnknownStatus(requestId, source.logs);
  const explanation = buildExplanation(page);
  return {
    text: renderExplanation(page, explanation),
    json: { ...page, explanation },
    exitCode: page.steps.length > 0 ? EXIT_OK : EXIT_FINDING,
  };
}

function buildUnknownStatus(
  requestId: string,
  logs: readonly string[],
): ToolResult {
  const text = logs.length > 0
    ? `These logs contain no line of request ${requestId}. Whether it ran is ` +
      "not known.\n"
    : `No reachable VM has a record of request ${requestId}. It was never ` +
      "sent, its VM was replaced, or its record was evicted. Whether it ran " +
      "is not known; the logs may show it: add --logs FILE.\n";
  return {
    text,
    json: { request_id: requestId, outcome: "unknown", steps: [] },
    exitCode: EXIT_FINDING,
  };
}

async function waitForExit(
  context: ToolContext,
  client: VmClient,
): Promise<void> {
  while (true) {
    try {
      const status = await client.fetch("/v1/status", STATUS_ANSWER);
      if (context.terminal.isInteractive) {
        context.terminal.writeError(
          `\r${status.in_flight} requests in flight   `,
        );
      }
    } catch (thrown) {
      // The operators' listener closes last, so a refused connection means that
      // the VM has exited. Other errors do not: a silent VM may still run.
      if (isConnectionRefused(thrown)) return;
      throw thrown;
    }
    await context.clock.sleep(POLL_INTERVAL_MS);
  }
}

function renderStatus(status: StatusAnswer): string {
  const state = status.draining ? "drains" : "serves";
  const head = `VM ${status.vm} in ${status.data_centre} ${state}, up ` +
    `${formatDuration(status.uptime_ms)}, ${status.in_flight} requests in ` +
    `flight, configuration ${formatNumber(status.config_version)}, list ` +
    `revision ${formatNumber(status.list_revision)}\n\n`;
  const members = renderTable(
    ["VM", "STATE", "DATA CENTRE", "CONFIGURATION"],
    status.members.map((member) => [
      member.vm,
      member.state,
      member.data_centre,
      formatNumber(member.config_version),
    ]),
  );
  if (status.shards.length === 0) return head + members;
  const shards = renderTable(
    ["SHARD", "OWNER", "ROOM", "SLOTS", "WAITING BY RANK", "EXPECTED WAIT"],
    status.shards.map((shard) => [
      shard.shard,
      shard.owner ?? NO_VALUE,
      formatNumber(shard.room),
      formatNumber(shard.slots),
      formatWaiting(shard.waiting_by_rank),
      shard.expected_wait_ms == null
        ? NO_VALUE
        : formatDuration(shard.expected_wait_ms),
    ]),
  );
  return `${head}${members}\n${shards}`;
}

/** Lists the versions that the VM did not accept, with the reasons. */
function renderUnaccepted(history: readonly VersionDecision[]): string {
  const unaccepted = history.filter(({ result }) => result !== "accepted");
  if (unaccepted.length === 0) return "";
  const lines = unaccepted.flatMap((decision) => [
    `Version ${decision.version} from ${decision.from} was ${decision.result} ` +
    `${formatDuration(decision.age_ms)} ago (content ${decision.digest})`,
    ...decision.problems.map((problem) => `  ${problem}`),
  ]);
  return `\n${lines.join("\n")}\n`;
}

function formatWaiting(byRank: Record<string, number>): string {
  const parts = Object.entries(byRank).filter(([, count]) => count > 0)
    .map(([rank, count]) => `${rank}: ${count}`);
  return parts.join(", ") || NO_VALUE;
}

function formatNumber(value: number | null | undefined): string {
  return value == null ? NO_VALUE : String(value);
}
