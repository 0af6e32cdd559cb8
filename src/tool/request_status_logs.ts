/**
 * Reconstructs the status of a request from log lines, for use after its VM is
 * gone.
 *
 * @module
 */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { toError } from "../errors.ts";
import { parseLogLine } from "../process/log_line.ts";
import { parseRequestId } from "../process/request_ids.ts";
import type { RequestStatusPage } from "./operator_answers.ts";
import { EXIT_UNREADABLE, ToolError } from "./tool_error.ts";

const STEP_EVENT = "request_step";
const FINISHED_EVENT = "request_finished";
/** Logged for a request that was refused before processing began. */
const REFUSED_EVENT = "request_refused";
const STANDARD_INPUT = "-";
/** Steps that imply that bytes may have reached an upstream. */
const STEPS_AFTER_SENDING: ReadonlySet<string> = new Set([
  "sent",
  "first_token",
  "stream_broken",
  "preempted",
  "resumed",
  "retried",
]);
/**
 * Outcomes by precedence: with several final lines, the first of these wins.
 */
const OUTCOME_PRECEDENCE: readonly string[] = [
  "answered",
  "ran",
  "unknown",
  "not_run",
];
const ID_RELEASED_REASON =
  "These logs show that it did not run and that its id was " +
  "released: another VM may have run it, whose logs are not included";
const NO_END_REASON =
  "The logs end before the request did: its VM was lost, or " +
  "the remaining lines are in another file";

/**
 * Reads log files (`-` for standard input) and builds the status of one
 * request; undefined if no line belongs to it. Rejects with a `ToolError`.
 */
export async function readStatusFromLogs(
  requestId: string,
  files: readonly string[],
): Promise<RequestStatusPage | undefined> {
  const builder = new LogStatusBuilder(requestId);
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

/** Builds a request status from individual log lines. */
class LogStatusBuilder {
  readonly #requestId: string;
  /** Lines already processed: copied or rotated files repeat lines. */
  readonly #seen = new Set<string>();
  readonly #steps: RequestStatusPage["steps"] = [];
  #arrivedAt: string | undefined;
  #finished: Record<string, string> | undefined;

  constructor(requestId: string) {
    this.#requestId = requestId;
  }

  addLine(line: string): void {
    // Most lines belong to other requests and need no parsing.
    if (!line.includes(this.#requestId)) return;
    const pairs = parseLogLine(line);
    if (pairs?.request_id !== this.#requestId || this.#seen.has(line)) return;
    this.#seen.add(line);
    if (pairs.event === STEP_EVENT) this.#addStep(pairs);
    if (pairs.event === FINISHED_EVENT) this.#addOutcome(pairs);
    if (pairs.event === REFUSED_EVENT) this.#addRefusal(pairs);
  }

  /** Returns undefined if no line belongs to the request. */
  build(): RequestStatusPage | undefined {
    if (this.#steps.length === 0 && !this.#finished) return undefined;
    const steps = this.#steps.toSorted((left, right) =>
      left.age_ms - right.age_ms
    );
    const finished = this.#finished;
    const why = this.#findUncertainty(steps);
    // Without its final line, the logs do not prove that the request did not
    // run, even if no line says that it was sent: that line may be lost too.
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
   * Keeps the final line of the highest precedence. A request that one VM
   * refused may have run on another VM under the same id; keeping the line read
   * last would report work that ran as "not run", depending on the file order.
   */
  #addOutcome(pairs: Record<string, string>): void {
    const known = this.#finished;
    if (
      known === undefined ||
      computeOutcomeRank(pairs) < computeOutcomeRank(known)
    ) {
      this.#finished = pairs;
    }
  }

  /** Returns why the outcome is unknown; undefined if the logs prove it. */
  #findUncertainty(steps: RequestStatusPage["steps"]): string | undefined {
    if (this.#finished === undefined) {
      const hasBeenSent = steps.some(({ step }) => {
        return STEPS_AFTER_SENDING.has(step);
      });
      return `${NO_END_REASON}${formatSent(hasBeenSent)}`;
    }
    const issued = parseRequestId(this.#requestId);
    // An id that no VM issued is chosen by the caller for a single submission
    // to one VM.
    const isConclusive = this.#finished.outcome !== "not_run" ||
      issued === undefined || issued.isSingle;
    return isConclusive ? undefined : ID_RELEASED_REASON;
  }

  #addRefusal(pairs: Record<string, string>): void {
    this.#arrivedAt ??= pairs.time;
    this.#addOutcome(pairs);
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

function computeOutcomeRank(pairs: Record<string, string>): number {
  const rank = OUTCOME_PRECEDENCE.indexOf(pairs.outcome ?? "");
  return rank < 0 ? OUTCOME_PRECEDENCE.indexOf("unknown") : rank;
}

function formatSent(hasBeenSent: boolean): string {
  return hasBeenSent
    ? ". It had already been sent to an upstream"
    : ". No line says that it was sent to an upstream";
}
