/**
 * Outcomes of requests as their callers see them.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { ExecutionOutcome } from "../src/outcome.ts";
import type { HttpResult } from "./http_call.ts";
import type { Expectation } from "./workload.ts";

/** Outcome of one request; only `unaccounted` is a fault of the router. */
export type Outcome =
  | { kind: "answered"; totalMs: number }
  | { kind: "refused"; outcome: ExecutionOutcome; code: string }
  | { kind: "cancelled" }
  /**
   * The connection broke. The outcome is that of the request status, or
   * `unknown` if there is none and the VM was killed.
   */
  | { kind: "lost"; outcome: ExecutionOutcome }
  | { kind: "unaccounted"; why: string };

const RUN_OUTCOMES: readonly string[] = ["not_run", "ran", "unknown"];
const LAST_EVENT = "[DONE]";

interface RefusalBody {
  error?: { code?: string; outcome?: string; message?: string };
}

interface ChatEvent {
  choices: { delta: { content?: string } }[];
}

/** Compares an answer with the expected one. */
export function checkAnswer(
  result: HttpResult & { kind: "whole" },
  expected: Expectation,
): Outcome {
  if (result.status >= 400) return checkRefusal(result);
  if (result.headers["x-request-id"] === undefined) {
    return buildUnaccounted("The answer has no request id");
  }
  try {
    const fault = findFault(result, expected);
    if (fault !== undefined) return buildUnaccounted(fault);
  } catch {
    return buildUnaccounted("The answer cannot be parsed");
  }
  return { kind: "answered", totalMs: result.totalMs };
}

/** Builds an outcome that is a fault. */
export function buildUnaccounted(why: string): Outcome {
  return { kind: "unaccounted", why };
}

/** Whether `text` is one of the run outcomes. */
export function isRunOutcome(
  text: string | undefined,
): text is ExecutionOutcome {
  return text !== undefined && RUN_OUTCOMES.includes(text);
}

function checkRefusal(result: HttpResult & { kind: "whole" }): Outcome {
  try {
    const { error } = JSON.parse(result.body) as RefusalBody;
    const code = error?.code;
    const outcome = error?.outcome;
    if (code !== undefined && isRunOutcome(outcome)) {
      return { kind: "refused", outcome, code };
    }
  } catch {
    // Not JSON: reported below.
  }
  return buildUnaccounted(
    `Status ${result.status} without error code and outcome`,
  );
}

function findFault(
  result: HttpResult & { kind: "whole" },
  expected: Expectation,
): string | undefined {
  return match(expected)
    .with({ kind: "whole_chat" }, ({ text }) => {
      const answer = JSON.parse(result.body) as {
        choices: { message: { content: string } }[];
      };
      return compareText(answer.choices[0]?.message.content, text);
    })
    .with({ kind: "streamed_chat" }, ({ text }) => {
      const events = listEvents(result.body);
      if (events.at(-1) !== LAST_EVENT) return "The stream lacks [DONE]";
      return compareText(collectTokens(events.slice(0, -1)), text);
    })
    .with(
      { kind: "lookup" },
      ({ body }) => compareText(result.body, body),
    )
    .with({ kind: "post" }, ({ echo }) => {
      const answer = JSON.parse(result.body) as {
        echo: string;
        request_id: string;
      };
      if (answer.request_id !== result.headers["x-request-id"]) {
        return "The answer has another request id";
      }
      return compareText(answer.echo, echo);
    })
    .exhaustive();
}

function listEvents(body: string): string[] {
  return body.split("\n\n")
    .filter((event) => event.startsWith("data: "))
    .map((event) => event.slice("data: ".length));
}

function collectTokens(events: readonly string[]): string {
  return events
    .map((event) => JSON.parse(event) as ChatEvent)
    .map((event) => event.choices[0]?.delta.content ?? "")
    .join("");
}

function compareText(
  found: string | undefined,
  expected: string,
): string | undefined {
  if (found === expected) return undefined;
  return `The answer differs from the expected one: ${found?.slice(0, 60)}`;
}
