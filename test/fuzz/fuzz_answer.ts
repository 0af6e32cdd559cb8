/**
 * Classifies the answers of a fuzz run as their callers can interpret them.
 *
 * @module
 */
import {
  buildExpectedText,
  type FuzzRequest,
  isOwnServiceAnswer,
} from "./fuzz_request.ts";
import type { FuzzSink } from "./fuzz_sink.ts";
import type { Submission } from "./fuzz_world.ts";

const DATA = "data: ";
const ERROR_EVENT = "event: error";
const DONE = "[DONE]";
const OK = 200;

/** How a submission ended for its caller. */
export type CallerEnd =
  | { kind: "whole" }
  | { kind: "refused"; code: string; outcome: string }
  /** Cut visibly, so that no caller mistakes it for a complete answer. */
  | { kind: "cut" }
  /** The caller disconnected, or its VM's process ended. */
  | { kind: "gone" }
  | { kind: "open" }
  /** False: bytes of another answer, or a part that looks complete. */
  | { kind: "wrong"; detail: string };

/** Classifies the answer that the caller of a submission got. */
export function readEnd(submission: Submission): CallerEnd {
  const { sink, request } = submission;
  const parts = readParts(submission);
  if (parts.kind === "wrong") return parts;
  if (sink.lateWrites > 0) return toWrong("Writes after the end of the answer");
  if (sink.state === "open") return { kind: "open" };
  if (sink.state === "left" || sink.state === "broken") {
    return { kind: "gone" };
  }
  if (sink.state === "destroyed") return { kind: "cut" };
  if (parts.kind === "whole" || parts.kind === "refused") return parts;
  return toWrong(
    `An incomplete answer of ${request.className} ended like a complete one`,
  );
}

/** Reads the request id from the answer's headers. */
export function readRequestId(sink: FuzzSink): string | undefined {
  return sink.headers["x-request-id"];
}

type Parts = CallerEnd | { kind: "part" };

function readParts(submission: Submission): Parts {
  const { sink, request } = submission;
  if (sink.status === undefined) return { kind: "part" };
  const refusal = readRefusal(sink.text);
  if (refusal !== undefined) return refusal;
  if (request.kind === "service") return readServiceAnswer(request, sink);
  if (sink.status !== OK) {
    return sink.isOpen || sink.state !== "ended"
      ? { kind: "part" }
      : toWrong(`Status ${sink.status} without a typed refusal`);
  }
  return request.shape.streamed
    ? readStream(submission)
    : readWhole(submission);
}

function readServiceAnswer(request: FuzzRequest, sink: FuzzSink): Parts {
  const body = parseJson(sink.text);
  if (body === undefined) return { kind: "part" };
  const requestId = readRequestId(sink);
  const isOwn = isOwnServiceAnswer(request, {
    status: sink.status!,
    body,
    requestId,
  });
  return isOwn
    ? { kind: "whole" }
    : toWrong(`Answer ${sink.text} does not belong to tag ${request.tag}`);
}

function readWhole(submission: Submission): Parts {
  const { sink } = submission;
  const body = parseJson(sink.text);
  if (body === undefined) return { kind: "part" };
  const answer = body as { id: string; choices: { text: string }[] };
  if (answer.id !== readRequestId(sink)) return toWrong("Another request's id");
  return checkText(submission, answer.choices[0]!.text, { isWhole: true });
}

function readStream(submission: Submission): Parts {
  const { sink } = submission;
  let text = "";
  let isDone = false;
  let refusal: CallerEnd | undefined;
  // The text after the last blank line is an incomplete event.
  const events = sink.text.split("\n\n").slice(0, -1);
  for (const event of events) {
    const data = event.slice(event.indexOf(DATA) + DATA.length);
    if (isDone || refusal !== undefined) return toWrong("Events after the end");
    if (event.startsWith(ERROR_EVENT)) refusal = readRefusal(data);
    else if (data === DONE) isDone = true;
    else if (event.startsWith(DATA)) {
      const chunk = JSON.parse(data);
      if (chunk.id !== readRequestId(sink)) {
        return toWrong("An event has another request's id");
      }
      text += chunk.choices[0]?.text ?? "";
    }
  }
  const checked = checkText(submission, text, { isWhole: isDone });
  return checked.kind === "part" ? refusal ?? checked : checked;
}

/** A resubmission may get the answer of the version of its first execution. */
function checkText(
  submission: Submission,
  text: string,
  options: { isWhole: boolean },
): Parts {
  const { request, versions } = submission;
  const isOwn = versions().some((version) => {
    const expected = buildExpectedText(request, version);
    return options.isWhole ? text === expected : expected.startsWith(text);
  });
  if (!isOwn) {
    return toWrong(
      `Text of ${text.length} characters does not match tag ${request.tag} ` +
        `under version ${versions().join(" or ")}`,
    );
  }
  return options.isWhole ? { kind: "whole" } : { kind: "part" };
}

function readRefusal(text: string): CallerEnd | undefined {
  const error = (parseJson(text) as { error?: Record<string, unknown> })?.error;
  if (typeof error?.["outcome"] !== "string") return undefined;
  return {
    kind: "refused",
    code: String(error["code"]),
    outcome: error["outcome"],
  };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}

function toWrong(detail: string): CallerEnd {
  return { kind: "wrong", detail };
}
