/**
 * `persimmonslip burn`: how fast each class of each workspace uses up its error
 * budget, and why.
 *
 * @module
 */
import {
  type BurnCounts,
  type BurnEntry,
  type BurnSeries,
  countWindow,
  parseSeries,
} from "../process/burn_stats.ts";
import type { Snapshot } from "../version/index.ts";
import { BURN_ANSWER, type BurnAnswer } from "./operator_answers.ts";
import { formatDuration, formatShare, renderTable } from "./table.ts";
import type { ToolResult } from "./terminal.ts";
import { EXIT_OK, EXIT_UNREACHABLE, ToolError } from "./tool_error.ts";
import type { VmClient } from "./vm_client.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const WINDOWS: readonly { name: string; ms: number }[] = [
  { name: "5min", ms: 5 * MINUTE_MS },
  { name: "1h", ms: HOUR_MS },
  { name: "6h", ms: 6 * HOUR_MS },
  { name: "3d", ms: 72 * HOUR_MS },
];
const SHOWN_CAUSES = 3;
const UNKNOWN = "-";

/** One window of one class of one workspace. */
interface WindowBurn {
  window: string;
  counts: BurnCounts;
  /** Share of counted requests that were not met; null without any. */
  missedShare: number | null;
  /** 1 spends the budget exactly over its period; null without objective. */
  burnRate: number | null;
}

/** Shows the burn of the budgets. `records` gives objectives that the VM
 * does not send. */
export async function runBurn(
  client: VmClient,
  options: { records?: Snapshot | undefined } = {},
): Promise<ToolResult> {
  const answer = await client.fetch("/v1/burn", BURN_ANSWER);
  const series = parseSeries(answer.series);
  if (series === undefined) {
    throw new ToolError("The VM sent figures of another form", {
      exitCode: EXIT_UNREACHABLE,
      step: "read_answer",
      hint: "The tool and the VM may be of different releases",
    });
  }
  const entries = series.entries.map((entry) => {
    const objective = findObjective(entry, answer, options.records);
    const windows = WINDOWS.map(({ name, ms }) =>
      computeBurn(countWindow(entry, ms), { window: name, objective })
    );
    return { entry, objective, windows };
  });
  return {
    text: renderHead(answer, series) +
      renderTable(
        [
          "WORKSPACE",
          "CLASS",
          "OBJECTIVE",
          ...WINDOWS.map(({ name }) => `MISSED ${name}`),
          ...WINDOWS.map(({ name }) => `BURN ${name}`),
        ],
        entries.map(({ entry, objective, windows }) => [
          entry.workspace,
          entry.className,
          objective === undefined ? UNKNOWN : formatShare(objective),
          ...windows.map(({ missedShare }) =>
            missedShare === null ? UNKNOWN : formatShare(missedShare)
          ),
          ...windows.map(({ burnRate }) =>
            burnRate === null ? UNKNOWN : burnRate.toFixed(1)
          ),
        ]),
      ) + renderCauses(series.entries),
    json: {
      vms: answer.vms,
      missing: answer.missing,
      gathered_ms: series.gatheredMs,
      reach_ms: series.reachMs,
      entries: entries.map(({ entry, objective, windows }) => ({
        workspace: entry.workspace,
        class: entry.className,
        objective: objective ?? null,
        windows: windows.map((burn) => ({
          window: burn.window,
          counts: burn.counts,
          missed_share: burn.missedShare,
          burn_rate: burn.burnRate,
        })),
        causes: entry.causes,
      })),
      series,
    },
    exitCode: EXIT_OK,
  };
}

function computeBurn(
  counts: BurnCounts,
  options: { window: string; objective: number | undefined },
): WindowBurn {
  // A caller that goes away by itself neither meets nor misses a target.
  const missed = counts.late + counts.refused + counts.lost;
  const counted = missed + counts.met;
  const missedShare = counted === 0 ? null : missed / counted;
  const { objective, window } = options;
  const burnRate = missedShare === null || objective === undefined
    ? null
    : missedShare / (1 - objective);
  return { window, counts, missedShare, burnRate };
}

function findObjective(
  entry: BurnEntry,
  answer: BurnAnswer,
  records: Snapshot | undefined,
): number | undefined {
  const sent = answer.objectives?.find((candidate) =>
    candidate.class === entry.className
  );
  if (sent !== undefined) {
    return sent.workspaces[entry.workspace] ?? sent.objective;
  }
  const workspace = [...records?.workspaces.values() ?? []]
    .find(({ name }) => name === entry.workspace);
  const requestClass = [...records?.classes.values() ?? []]
    .find(({ name }) => name === entry.className);
  return workspace?.objectives[entry.className] ?? requestClass?.objective;
}

function renderHead(answer: BurnAnswer, series: BurnSeries): string {
  const lines = [
    `Figures of ${answer.vms.length} VMs, reaching back ${
      formatDuration(series.reachMs)
    }`,
  ];
  for (const { vm, why } of answer.missing) {
    lines.push(`Not reached: ${vm}: ${why}`);
  }
  if (answer.missing.length > 0) {
    lines.push(
      "What they served is in none of these figures: the shares below are of " +
        "the other VMs alone",
    );
  }
  return lines.map((line) => `${line}\n`).join("") + "\n";
}

function renderCauses(entries: readonly BurnEntry[]): string {
  const rows = entries.flatMap((entry) =>
    entry.causes.filter((cause) => cause.lastHour > 0)
      .slice(0, SHOWN_CAUSES)
      .map((cause) => [
        entry.workspace,
        entry.className,
        cause.result,
        cause.step,
        cause.pool || UNKNOWN,
        cause.upstream || UNKNOWN,
        String(cause.lastHour),
        cause.examples[0] ?? UNKNOWN,
      ])
  );
  if (rows.length === 0) return "";
  const heads = [
    "WORKSPACE",
    "CLASS",
    "RESULT",
    "STEP",
    "POOL",
    "UPSTREAM",
    "LAST HOUR",
    "EXAMPLE",
  ];
  return `\nWhy, worst first (ask \`fate\` about an example):\n${
    renderTable(heads, rows)
  }`;
}
