/**
 * Parses the result of a request as its caller sees it.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { CallerView } from "./bench_sink.ts";
import type { BenchRequest } from "./workload.ts";

const DATA = "data: ";
const DONE = "[DONE]";
const OK = 200;

/** One request and the answer that its caller received. */
export interface RequestTrace {
  request: BenchRequest;
  /** Entry VM chosen by the caller. */
  vm: VmId;
  view: CallerView;
}

/** End of a request as its caller sees it. */
export type CallerEnd =
  | { kind: "whole" }
  /** A complete answer whose text is not the expected one. */
  | { kind: "wrong" }
  | { kind: "refused"; code: string; outcome: string }
  /** Ended before it was complete, without an error event. */
  | { kind: "cut" }
  | { kind: "open" };

/** A parsed answer. */
export interface CallerResult {
  end: CallerEnd;
  /** Whether the received text is a prefix of this request's answer. */
  isOwnText: boolean;
  /** Number of tokens received at each time. */
  tokens: { at: number; count: number }[];
}

/** Parses the answer that a caller received. */
export function parseCallerResult(trace: RequestTrace): CallerResult {
  const { request, view } = trace;
  if (view.end === "open") {
    return { end: { kind: "open" }, isOwnText: true, tokens: [] };
  }
  if (view.status !== OK) {
    return { end: parseRefusal(view), isOwnText: true, tokens: [] };
  }
  return request.kind === "model"
    ? parseStream(request, view)
    : parseServiceAnswer(request, view);
}

function parseServiceAnswer(
  request: BenchRequest,
  view: CallerView,
): CallerResult {
  const isOwnText = request.buildExpected().startsWith(view.text);
  if (view.end === "destroyed") {
    return { end: { kind: "cut" }, isOwnText, tokens: [] };
  }
  const isWhole = request.buildExpected() === view.text;
  const tokens = [{ at: view.endedAt!, count: 1 }];
  return { end: { kind: isWhole ? "whole" : "wrong" }, isOwnText, tokens };
}

function parseStream(request: BenchRequest, view: CallerView): CallerResult {
  const expected = request.buildExpected();
  const read = readEvents(view);
  const isOwnText = expected.startsWith(read.text);
  const result = { isOwnText, tokens: read.tokens };
  if (!read.isDone || view.end === "destroyed") {
    const end: CallerEnd = read.error ?? { kind: "cut" };
    return { ...result, end };
  }
  return {
    ...result,
    end: { kind: read.text === expected ? "whole" : "wrong" },
  };
}

function readEvents(view: CallerView) {
  let text = "";
  let isDone = false;
  let error: CallerEnd | undefined;
  let offset = 0;
  let piece = 0;
  const tokens: { at: number; count: number }[] = [];
  for (const event of view.text.split("\n\n")) {
    offset += event.length + 2;
    const start = event.indexOf(DATA);
    if (start < 0) continue;
    const data = event.slice(start + DATA.length);
    if (data === DONE) {
      isDone = true;
      continue;
    }
    if (event.startsWith("event: error")) {
      error = parseErrorBody(data);
      continue;
    }
    const token = JSON.parse(data).choices?.[0]?.text ?? "";
    if (token === "") continue;
    text += token;
    while (view.pieces[piece]!.end < offset) piece += 1;
    const at = view.pieces[piece]!.at;
    const last = tokens.at(-1);
    if (last?.at === at) last.count += 1;
    else tokens.push({ at, count: 1 });
  }
  return { text, isDone, error, tokens };
}

function parseRefusal(view: CallerView): CallerEnd {
  if (view.status === undefined) return { kind: "cut" };
  return parseErrorBody(view.text) ??
    { kind: "refused", code: String(view.status), outcome: "unsaid" };
}

function parseErrorBody(text: string): CallerEnd | undefined {
  try {
    const { code, outcome } = JSON.parse(text).error;
    return { kind: "refused", code: String(code), outcome: String(outcome) };
  } catch {
    return undefined;
  }
}
