/**
 * Reads burn reports saved with `--json` and log files for `--fold`, and
 * converts reports to the saved form.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import { readFile } from "node:fs/promises";
import { createInterface } from "node:readline";
import { z } from "zod";
import { toError } from "../../errors.ts";
import { parseSeries } from "../../process/burn_stats.ts";
import { BURN_ANSWER, type BurnAnswer } from "../operator_answers.ts";
import { EXIT_UNREACHABLE, EXIT_UNREADABLE, ToolError } from "../tool_error.ts";
import type { BurnFold } from "./burn_fold.ts";
import { type LogRequest, parseFinishedLine } from "./burn_logs.ts";
import {
  buildSpans,
  type BurnSample,
  type BurnSource,
  type PastSpan,
} from "./burn_sources.ts";

const KIND = "persimmonslip_burn";
const FORM = 1;
/** Start of a saved report, a JSON object; log lines start with their time. */
const REPORT_START = "{";
const MAX_PEEKED_BYTES = 64;

const SAVED_REPORT = z.looseObject({
  kind: z.literal(KIND),
  form: z.literal(FORM),
  gathered_at: z.iso.datetime(),
  log_requests: z.int().nonnegative(),
  vms: z.array(z.looseObject({
    vm: z.string(),
    incarnation: z.string(),
    gathered_at: z.iso.datetime(),
    spans: z.array(z.looseObject({
      from_ms_ago: z.number(),
      to_ms_ago: z.number(),
    })),
    series: z.unknown(),
  })),
  missing: z.array(z.looseObject({
    vm: z.string(),
    why: z.string(),
    gathered_at: z.iso.datetime(),
  })),
  objectives: BURN_ANSWER.shape.objectives,
});

type SavedReport = z.infer<typeof SAVED_REPORT>;

/** Contents of the files given to `--fold`. */
export interface FoldInput {
  samples: BurnSample[];
  logged: LogRequest[];
}

/** Converts a VM's answer to a sample. Throws a `ToolError`. */
export function convertAnswer(
  answer: BurnAnswer,
  gatheredAtMs: number,
): BurnSample {
  return {
    gatheredAtMs,
    sources: answer.vms.map(({ vm, incarnation, series }) => {
      const parsed = parseSeries(series);
      if (parsed === undefined) {
        throw new ToolError("The VM sent burn figures in an unknown format", {
          exitCode: EXIT_UNREACHABLE,
          step: "read_answer",
          hint: "The tool and the VM may be of different releases",
        });
      }
      const spans = buildSpans(parsed);
      return { vm, incarnation, gatheredAtMs, series: parsed, spans };
    }),
    missing: answer.missing.map(({ vm, why }) => ({ vm, why, gatheredAtMs })),
    objectives: convertObjectives(answer.objectives),
  };
}

/** Builds the part of a saved report that `readFoldFiles` reads back. */
export function buildSavedReport(fold: BurnFold): SavedReport {
  return {
    kind: KIND,
    form: FORM,
    gathered_at: formatTime(fold.atMs),
    log_requests: fold.logRequests,
    vms: fold.sources.map((source) => ({
      vm: source.vm,
      incarnation: source.incarnation,
      gathered_at: formatTime(source.gatheredAtMs),
      spans: source.spans.map(({ fromAgoMs, toAgoMs }) => ({
        from_ms_ago: fromAgoMs,
        to_ms_ago: toAgoMs,
      })),
      series: source.series,
    })),
    missing: fold.missing.map(({ vm, why, gatheredAtMs }) => ({
      vm,
      why,
      gathered_at: formatTime(gatheredAtMs),
    })),
    objectives: fold.objectives.map((objective) => ({
      class: objective.className,
      tier: objective.tier,
      objective: objective.objective,
      workspaces: Object.fromEntries(objective.workspaces),
    })),
  };
}

/** Reads saved reports and log files. Rejects with a `ToolError`. */
export async function readFoldFiles(
  files: readonly string[],
): Promise<FoldInput> {
  const input: FoldInput = { samples: [], logged: [] };
  for (const file of files) {
    try {
      if (await isSavedReport(file)) {
        const text = await readFile(file, "utf8");
        input.samples.push(parseSavedReport(text, file));
      } else {
        await readLog(file, input.logged);
      }
    } catch (thrown) {
      if (thrown instanceof ToolError) throw thrown;
      const cause = toError(thrown);
      throw new ToolError(`${file} cannot be read`, {
        exitCode: EXIT_UNREADABLE,
        step: "read_fold",
        cause,
      });
    }
  }
  if (input.samples.length === 0 && input.logged.length === 0) {
    throw new ToolError("The files contain no report and no finished request", {
      exitCode: EXIT_UNREADABLE,
      step: "read_fold",
      hint: "Use reports saved by `burn --json` or log files of the daemon",
    });
  }
  return input;
}

/** Parses a saved report. Throws a `ToolError` that contains `name`. */
export function parseSavedReport(text: string, name: string): BurnSample {
  const saved = SAVED_REPORT.safeParse(parseJson(text)).data;
  const sources = saved?.vms.map(convertSource);
  if (saved === undefined || sources?.includes(undefined)) {
    throw new ToolError(`${name} is not a report saved by burn --json`, {
      exitCode: EXIT_UNREADABLE,
      step: "read_fold",
      hint: "It may have been written by another release",
    });
  }
  if (saved.log_requests > 0) {
    // Requests from logs are only counts in a saved report. Merging it with the
    // same log file again would count them twice without any sign of it.
    throw new ToolError(`${name} was itself merged with log files`, {
      exitCode: EXIT_UNREADABLE,
      step: "read_fold",
      hint: "Use the files that it was made from instead",
    });
  }
  return {
    gatheredAtMs: Date.parse(saved.gathered_at),
    sources: sources as BurnSource[],
    missing: saved.missing.map(({ vm, why, gathered_at }) => ({
      vm,
      why,
      gatheredAtMs: Date.parse(gathered_at),
    })),
    objectives: convertObjectives(saved.objectives),
  };
}

async function isSavedReport(file: string): Promise<boolean> {
  const input = createReadStream(file, {
    encoding: "utf8",
    end: MAX_PEEKED_BYTES,
  });
  let start = "";
  for await (const chunk of input) start += chunk;
  return start.trimStart().startsWith(REPORT_START);
}

async function readLog(file: string, logged: LogRequest[]): Promise<void> {
  const input = createReadStream(file, "utf8");
  for await (const line of createInterface({ input })) {
    const request = parseFinishedLine(line);
    if (request !== undefined) logged.push(request);
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function convertSource(
  saved: SavedReport["vms"][number],
): BurnSource | undefined {
  const series = parseSeries(saved.series);
  if (series === undefined) return undefined;
  return {
    vm: saved.vm,
    incarnation: saved.incarnation,
    gatheredAtMs: Date.parse(saved.gathered_at),
    series,
    spans: saved.spans.map((span): PastSpan => ({
      fromAgoMs: span.from_ms_ago,
      toAgoMs: span.to_ms_ago,
    })),
  };
}

function convertObjectives(
  sent: BurnAnswer["objectives"],
): BurnSample["objectives"] {
  return sent.map((objective) => ({
    className: objective.class,
    tier: objective.tier,
    objective: objective.objective,
    workspaces: new Map(Object.entries(objective.workspaces)),
  }));
}

function formatTime(ms: number): string {
  return new Date(ms).toISOString();
}
