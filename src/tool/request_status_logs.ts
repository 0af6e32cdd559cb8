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
/** Of a request that was refused before any work on it began. */
const REFUSED_EVENT = "request_refused";
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
/** What a line of the end says; of two the earlier of these is told. */
const OUTCOMES: readonly string[] = ["answered", "ran", "unknown", "not_run"];
const GIVEN_BACK = "These logs say that it did not run, and that its id was " +
  "free again: another VM may have run it, whose log is not here";
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
  /** A copied or rotated file holds lines that another one has, too. */
  readonly #seen = new Set<string>();
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
    if (pairs?.request_id !== this.#requestId || this.#seen.has(line)) return;
    this.#seen.add(line);
    if (pairs.event === STEP_EVENT) this.#addStep(pairs);
    if (pairs.event === FINISHED_EVENT) this.#addEnd(pairs);
    if (pairs.event === REFUSED_EVENT) this.#addRefusal(pairs);
  }

  /** Undefined where no line was of the request. */
  build(): FatePage | undefined {
    if (this.#steps.length === 0 && !this.#finished) return undefined;
    const steps = this.#steps.toSorted((left, right) =>
      left.age_ms - right.age_ms
    );
    const finished = this.#finished;
    const why = this.#findDoubt(steps);
    // Without its last line nothing proves that the request did not run, not
    // even where no line says that it was sent: that line may be lost too.
    const outcome = why === undefined ? finished?.outcome : undefined;
    return {
      request_id: this.#requestId,
      outcome: outcome ?? "unknown",
      code: finished?.code,
      vm: finished?.vm ?? parseRequestId(this.#requestId)?.vm,
      workspace: finished?.workspace,
      class: finished?.class,
      arrived_at: this.#arrivedAt,
      tokens: finished?.tokens === undefined
        ? undefined
        : Number(finished.tokens),
      why,
      steps,
      dropped_steps: 0,
    };
  }

  /**
   * A request that one VM refused without running it may have run at another,
   * under the same id. Taking the line that is read last would tell a caller
   * "not run" of work that ran, by the order in which files are named.
   */
  #addEnd(pairs: Record<string, string>): void {
    const known = this.#finished;
    if (known === undefined || computeEndRank(pairs) < computeEndRank(known)) {
      this.#finished = pairs;
    }
  }

  /** Why the outcome is not known; undefined where a line says it. */
  #findDoubt(steps: FatePage["steps"]): string | undefined {
    if (this.#finished === undefined) {
      const hasBeenSent = steps.some(({ step }) => {
        return STEPS_PAST_SENDING.has(step);
      });
      return `${UNENDED}${formatSent(hasBeenSent)}`;
    }
    const issued = parseRequestId(this.#requestId);
    // An id that no VM issued is its caller's own, for one attempt at one VM.
    const isLastWord = this.#finished.outcome !== "not_run" ||
      issued === undefined || issued.isSingle;
    return isLastWord ? undefined : GIVEN_BACK;
  }

  #addRefusal(pairs: Record<string, string>): void {
    this.#arrivedAt ??= pairs.time;
    this.#addEnd(pairs);
    this.#steps.push({
      step: "refused",
      age_ms: 0,
      peer: undefined,
      detail: pairs.detail,
    });
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

function computeEndRank(pairs: Record<string, string>): number {
  const rank = OUTCOMES.indexOf(pairs.outcome ?? "");
  return rank < 0 ? OUTCOMES.indexOf("unknown") : rank;
}

function formatSent(hasBeenSent: boolean): string {
  return hasBeenSent
    ? ". It had been sent to an upstream by then"
    : ". No line says that it was sent to an upstream";
}
