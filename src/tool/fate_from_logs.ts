/**
 * A request's fate from log lines, for when its VM is gone.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { toError } from "../errors.ts";
import { parseLogLine } from "../process/log_line.ts";
import { parseRequestId } from "../process/request_ids.ts";
import type { FatePage } from "./operator_answers.ts";
import { EXIT_UNREADABLE, ToolError } from "./tool_error.ts";

const STEP_EVENT = "request_step";
const FINISHED_EVENT = "request_finished";
const STANDARD_INPUT = "-";
/** Steps after which bytes may have reached an upstream. */
const STEPS_PAST_SENDING: ReadonlySet<string> = new Set([
  "sent",
  "first_token",
  "stream_broken",
  "preempted",
  "resumed",
  "retried",
]);
const UNENDED = "The logs end before the request did: its VM was lost, or " +
  "the lines are in another file";

/**
 * Reads log files (`-` for standard input) and puts together what they say of
 * one request; undefined where they say nothing.
 */
export async function readFateFromLogs(
  requestId: string,
  files: readonly string[],
): Promise<FatePage | undefined> {
  const builder = new LogFateBuilder(requestId);
  for (const file of files) {
    const input = file === STANDARD_INPUT
      ? process.stdin
      : createReadStream(file, "utf8");
    try {
      for await (const line of createInterface({ input })) {
        builder.addLine(line);
      }
    } catch (thrown) {
      const cause = toError(thrown);
      throw new ToolError(`${file} cannot be read`, {
        exitCode: EXIT_UNREADABLE,
        step: "read_logs",
        cause,
      });
    }
  }
  return builder.build();
}

/** Puts a fate together line by line. */
class LogFateBuilder {
  readonly #requestId: string;
  readonly #steps: FatePage["steps"] = [];
  #arrivedAt: string | undefined;
  #finished: Record<string, string> | undefined;

  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  addLine(line: string): void {
    // Most lines are of other requests; this spares reading them in full.
    if (!line.includes(this.#requestId)) return;
    const pairs = parseLogLine(line);
    if (pairs?.request_id !== this.#requestId) return;
    if (pairs.event === STEP_EVENT) this.#addStep(pairs);
    if (pairs.event === FINISHED_EVENT) this.#finished = pairs;
  }

  /** Undefined where no line was of the request. */
  build(): FatePage | undefined {
    if (this.#steps.length === 0 && !this.#finished) return undefined;
    const steps = this.#steps.toSorted((left, right) =>
      left.age_ms - right.age_ms
    );
    const hasBeenSent = steps.some((step) => STEPS_PAST_SENDING.has(step.step));
    const finished = this.#finished;
    // Without its last line nothing proves that the request did not run, not
    // even where no line says that it was sent: that line may be lost too.
    const outcome = finished?.outcome ?? "unknown";
    return {
      request_id: this.#requestId,
      outcome,
      code: finished?.code,
      vm: parseRequestId(this.#requestId)?.vm,
      workspace: finished?.workspace,
      class: finished?.class,
      arrived_at: this.#arrivedAt,
      tokens: finished?.tokens === undefined
        ? undefined
        : Number(finished.tokens),
      why: finished ? undefined : `${UNENDED}${formatSent(hasBeenSent)}`,
      steps,
      dropped_steps: 0,
    };
  }

  #addStep(pairs: Record<string, string>): void {
    const ageMs = Number(pairs.age_ms);
    if (!Number.isFinite(ageMs) || pairs.step === undefined) return;
    if (pairs.step === "arrived") this.#arrivedAt = pairs.time;
    this.#steps.push({
      step: pairs.step,
      age_ms: ageMs,
      peer: pairs.peer,
      detail: pairs.detail,
    });
  }
}

function formatSent(hasBeenSent: boolean): string {
  return hasBeenSent
    ? ". It had been sent to an upstream by then"
    : ". No line says that it was sent to an upstream";
}
