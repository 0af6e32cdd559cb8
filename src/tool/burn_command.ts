/**
 * `persimmonslip burn`: how fast error budgets burn, and why.
 *
 * @module
 */
import { writeFile } from "node:fs/promises";
import { toError } from "../errors.ts";
import type { Snapshot } from "../version/index.ts";
import {
  buildJson,
  type BurnSample,
  type ClassObjective,
  computeReport,
  convertAnswer,
  mergeSamples,
  readFoldFiles,
  renderText,
} from "./burn/index.ts";
import { BURN_ANSWER } from "./operator_answers.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import { EXIT_OK, EXIT_UNREADABLE, ToolError } from "./tool_error.ts";
import type { VmClient } from "./vm_client.ts";

/** What the report is made of and where it goes. */
export interface BurnOptions {
  /** Asked for, where nothing is folded. */
  client: () => VmClient;
  /** Saved reports and log files to read in place of asking a VM. */
  fold: readonly string[];
  /** A file for the report as a page. */
  html?: string | undefined;
  /** Gives objectives where neither a VM nor a saved report does. */
  records?: Snapshot | undefined;
}

/** Shows the burn of the budgets. Rejects with a `ToolError`. */
export async function runBurn(
  context: ToolContext,
  options: BurnOptions,
): Promise<ToolResult> {
  const { records } = options;
  const { samples, logged } = options.fold.length > 0
    ? await readFoldFiles(options.fold)
    : { samples: [await fetchSample(context, options)], logged: [] };
  const merged = mergeSamples(samples, logged);
  const fold = merged.objectives.length === 0 && records !== undefined
    ? { ...merged, objectives: listObjectives(records) }
    : merged;
  const report = computeReport(fold);
  if (options.html !== undefined) {
    // Plots need libraries that no other command does.
    const { renderPage } = await import("./burn/burn_html.ts");
    await writePage(options.html, renderPage(report));
  }
  return {
    text: renderText(report, { hasColour: hasColour(context) }),
    json: buildJson(fold, report),
    exitCode: EXIT_OK,
  };
}

async function fetchSample(
  context: ToolContext,
  options: BurnOptions,
): Promise<BurnSample> {
  const answer = await options.client().fetch("/v1/burn", BURN_ANSWER);
  return convertAnswer(answer, context.clock.wallTime());
}

async function writePage(file: string, page: string): Promise<void> {
  try {
    await writeFile(file, page);
  } catch (thrown) {
    const cause = toError(thrown);
    throw new ToolError(`${file} cannot be written`, {
      exitCode: EXIT_UNREADABLE,
      step: "write_page",
      cause,
    });
  }
}

/** `NO_COLOR` is the convention of no-color.org: any text but the empty one. */
function hasColour({ terminal, variables }: ToolContext): boolean {
  return terminal.hasColour && !variables.NO_COLOR && variables.TERM !== "dumb";
}

function listObjectives(records: Snapshot): ClassObjective[] {
  return [...records.classes.values()].map((requestClass) => ({
    className: requestClass.name,
    tier: requestClass.tier,
    objective: requestClass.objective,
    workspaces: new Map(
      [...records.workspaces.values()].flatMap(({ name, objectives }) => {
        const objective = objectives[requestClass.name];
        return objective === undefined ? [] : [[name, objective] as const];
      }),
    ),
  }));
}
