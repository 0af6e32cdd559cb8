/**
 * `persimmonslip burn`: burn rates of error budgets, and their causes.
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

/** Inputs and outputs of the report. */
export interface BurnOptions {
  /** Creates the client; called only if `fold` is empty. */
  client: () => VmClient;
  /** Saved reports and log files to read instead of asking a VM. */
  fold: readonly string[];
  /** File to write the report to as an HTML page. */
  html?: string | undefined;
  /** Source of objectives if neither a VM nor a saved report has any. */
  records?: Snapshot | undefined;
}

/** Reports the burn rates of error budgets. Rejects with a `ToolError`. */
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
    // Loaded on demand: no other command needs the plotting libraries.
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

/** Follows no-color.org: any non-empty `NO_COLOR` disables colour. */
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
