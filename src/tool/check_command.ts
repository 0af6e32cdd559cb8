/**
 * `persimmonslip check` and `diff`: validate and compare settings and records
 * offline.
 *
 * @module
 */
import { readSettings, SettingsError } from "../process/settings.ts";
import {
  buildSnapshot,
  compareSnapshots,
  formatProblem,
  readRecordDirectory,
  type Snapshot,
  type SnapshotResult,
} from "../version/index.ts";
import { toError } from "../errors.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import {
  EXIT_FINDING,
  EXIT_OK,
  EXIT_UNREADABLE,
  EXIT_USAGE,
  ToolError,
} from "./tool_error.ts";

/** Files to check; at least one of the two is required. */
export interface CheckArguments {
  settings?: string | undefined;
  records?: string | undefined;
}

interface Finding {
  file: string;
  ok: boolean;
  lines: string[];
}

/** Checks settings and records; exit code 1 if either is invalid. */
export async function runCheck(
  context: ToolContext,
  target: CheckArguments,
): Promise<ToolResult> {
  const findings: Finding[] = [];
  if (target.settings !== undefined) {
    findings.push(checkSettings(context, target.settings));
  }
  if (target.records !== undefined) {
    findings.push(await checkRecords(target.records));
  }
  if (findings.length === 0) {
    throw new ToolError("Nothing to check", {
      exitCode: EXIT_USAGE,
      step: "read_arguments",
      hint: "Use --settings FILE, --records DIRECTORY or both",
    });
  }
  const isOk = findings.every((finding) => finding.ok);
  return {
    text: findings.flatMap(({ lines }) => lines.map((line) => `${line}\n`))
      .join(""),
    json: { ok: isOk, checked: findings },
    exitCode: isOk ? EXIT_OK : EXIT_FINDING,
  };
}

/**
 * Lists the differences between two record directories and the workspaces and
 * classes that they affect; exit code 1 if there are any.
 */
export async function runDiff(
  directories: { before: string; after: string },
): Promise<ToolResult> {
  const before = await readSnapshot(directories.before);
  const after = await readSnapshot(directories.after);
  const changes = compareSnapshots(before, after);
  const lines = changes.length === 0
    ? ["No record differs"]
    : changes.map((change) => change.text);
  return {
    text: lines.map((line) => `${line}\n`).join(""),
    json: {
      before: { directory: directories.before, version: before.version },
      after: { directory: directories.after, version: after.version },
      changes: changes.map((change) => ({
        kind: change.kind,
        name: change.name,
        change: change.change,
        fields: change.fields,
        classes: change.classes,
        workspaces: change.workspaces,
        text: change.text,
      })),
    },
    exitCode: changes.length === 0 ? EXIT_OK : EXIT_FINDING,
  };
}

/**
 * Reads a snapshot from a record directory. Rejects with a `ToolError` that
 * lists the problems if the records are invalid.
 */
export async function readSnapshot(directory: string): Promise<Snapshot> {
  const result = await buildFromDirectory(directory);
  if (result.kind === "accepted") return result.snapshot;
  const problems = result.problems.map(formatProblem);
  throw new ToolError(
    `${directory} contains records that no VM would accept:\n${
      problems.join("\n")
    }`,
    { exitCode: EXIT_UNREADABLE, step: "read_records" },
  );
}

async function buildFromDirectory(directory: string): Promise<SnapshotResult> {
  try {
    const { version, records } = await readRecordDirectory(directory);
    return buildSnapshot(version, records);
  } catch (thrown) {
    const cause = toError(thrown);
    throw new ToolError("Records cannot be read", {
      exitCode: EXIT_UNREADABLE,
      step: "read_records",
      cause,
      hint:
        "A record directory contains index.json, groups/NAME/VERSION.json " +
        "and membership.json",
    });
  }
}

function checkSettings(context: ToolContext, file: string): Finding {
  try {
    const settings = readSettings(file, context.variables);
    const line = `${file}: settings of VM ${settings.vm} are valid`;
    return { file, ok: true, lines: [line] };
  } catch (thrown) {
    if (!(thrown instanceof SettingsError)) throw thrown;
    return { file, ok: false, lines: thrown.message.split("\n") };
  }
}

async function checkRecords(directory: string): Promise<Finding> {
  const result = await buildFromDirectory(directory);
  if (result.kind === "rejected") {
    const lines = result.problems.map((problem) =>
      `${directory}: ${formatProblem(problem)}`
    );
    return { file: directory, ok: false, lines };
  }
  const { version, tiers, classes, workspaces, pools } = result.snapshot;
  const line = `${directory}: version ${version} is valid: ${tiers.size} ` +
    `tiers, ${classes.size} request classes, ${workspaces.size} workspaces, ` +
    `${pools.size} upstream pools`;
  return { file: directory, ok: true, lines: [line] };
}
