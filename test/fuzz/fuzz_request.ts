/**
 * The requests of a run and their expected answers.
 *
 * @module
 */
import { getBenchKey, type User } from "../../bench/support/example_records.ts";
import { formatTag } from "../../bench/support/tags.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import { getClassRank, type RequestClass } from "../../src/version/records.ts";
import { EngineAnswer } from "../../standin/engine_answer.ts";
import { buildLookupBody } from "../../standin/service_core.ts";
import { getExamples, getOutputCap } from "./fuzz_records.ts";

/** Above every class's cap, so that the cap applies. */
const REQUESTED_TOKENS = 400;
const FILLER = "texto largo y claro ";

/** The generated properties of a request. */
export interface RequestShape {
  /** Index of the class, modulo the number of classes. */
  classIndex: number;
  workspaceIndex: number;
  /** Length of a model's answer, in tokens. */
  tokens: number;
  promptTokens: number;
  streamed: boolean;
  /** Marks a model's request as not idempotent. */
  once: boolean;
}

/** One request, which may be submitted more than once. */
export interface FuzzRequest {
  tag: number;
  shape: RequestShape;
  kind: "model" | "service";
  className: string;
  rank: number;
  workspace: string;
  pool: string;
  model: string;
  isIdempotent: boolean;
  /** The id that the caller got for it before submitting, if any. */
  issuedId: string | undefined;
}

/** Lists the classes of a user in the order of `classIndex`. */
export function listClasses(user: User): RequestClass[] {
  return [...getExamples(user).snapshot.classes.values()];
}

/** The rank of a class's tier. */
export function getRank(user: User, requestClass: RequestClass): number {
  return getClassRank(getExamples(user).snapshot, requestClass.name);
}

/** Builds a request of a shape. */
export function buildRequest(
  user: User,
  shape: RequestShape,
  options: { tag: number; issuedId: string | undefined },
): FuzzRequest {
  const { snapshot } = getExamples(user);
  const classes = listClasses(user);
  const requestClass = classes[shape.classIndex % classes.length]!;
  const workspaces = [...snapshot.workspaces.values()]
    .filter((one) => one.classes.includes(requestClass.name));
  const kind = requestClass.maxOutputTokens > 1 ? "model" : "service";
  const pool = [...snapshot.pools.values()].find(({ type }) => type === kind)!;
  return {
    ...options,
    shape,
    kind,
    className: requestClass.name,
    rank: getRank(user, requestClass),
    workspace: workspaces[shape.workspaceIndex % workspaces.length]!.name,
    pool: pool.name,
    model: pool.models[0]?.model ?? "",
    isIdempotent: requestClass.idempotent && !(kind === "model" && shape.once),
  };
}

/** Builds the call that submits a request. */
export function buildCall(
  request: FuzzRequest,
  arrivedAt: number,
): CallerRequest {
  return {
    ...(request.kind === "model"
      ? buildModelCall(request)
      : buildServiceCall(request)),
    query: "",
    remoteAddress: "127.0.0.1",
    arrivedAt,
  };
}

/** Builds a call without work, such as for an id or a request's status. */
export function buildPlainCall(
  method: string,
  path: string,
  workspace: string,
): CallerRequest {
  return {
    method,
    path,
    query: "",
    headers: buildKeyHeader(workspace),
    body: new Uint8Array(),
    remoteAddress: "127.0.0.1",
    arrivedAt: 0,
  };
}

/** Builds the expected text of a model under a configuration version. */
export function buildExpectedText(
  request: FuzzRequest,
  version: number,
): string {
  const maxTokens = Math.min(REQUESTED_TOKENS, getOutputCap(version));
  const prompt = formatPrompt(request);
  const answer = EngineAnswer.create({
    prompt,
    model: request.model,
    maxTokens,
  });
  return answer.getText();
}

/** Whether a service's answer belongs to the request. */
export function isOwnServiceAnswer(
  request: FuzzRequest,
  answer: { status: number; body: unknown; requestId: string | undefined },
): boolean {
  if (answer.status >= 500) return true;
  if (request.isIdempotent) {
    const expected = buildLookupBody(`/lookup/${formatTag(request.tag)}`);
    return JSON.stringify(answer.body) === JSON.stringify(expected);
  }
  const hold = answer.body as { request_id?: unknown; echo?: unknown };
  return hold.request_id === answer.requestId &&
    hold.echo === formatHold(request);
}

function buildKeyHeader(workspace: string): Record<string, string> {
  return { authorization: `Bearer ${getBenchKey(workspace)}` };
}

function buildHeaders(request: FuzzRequest): Record<string, string> {
  const { issuedId, shape, kind } = request;
  return {
    ...buildKeyHeader(request.workspace),
    "content-type": "application/json",
    "x-request-class": request.className,
    ...(issuedId === undefined ? {} : { "x-request-id": issuedId }),
    ...(kind === "model" && shape.once ? { "x-idempotent": "false" } : {}),
  };
}

function buildModelCall(request: FuzzRequest) {
  const body = {
    model: request.model,
    prompt: formatPrompt(request),
    stream: request.shape.streamed,
    max_tokens: REQUESTED_TOKENS,
  };
  return {
    method: "POST",
    path: "/v1/completions",
    headers: buildHeaders(request),
    body: Buffer.from(JSON.stringify(body)),
  };
}

function buildServiceCall(request: FuzzRequest) {
  const root = `/services/${request.pool}`;
  const headers = buildHeaders(request);
  return request.isIdempotent
    ? {
      method: "GET",
      path: `${root}/lookup/${formatTag(request.tag)}`,
      headers,
      body: new Uint8Array(),
    }
    : {
      method: "POST",
      path: `${root}/holds`,
      headers,
      body: Buffer.from(formatHold(request)),
    };
}

function formatHold(request: FuzzRequest): string {
  return JSON.stringify({ mark: formatTag(request.tag) });
}

function formatPrompt(request: FuzzRequest): string {
  const { tokens, promptTokens } = request.shape;
  const filler = FILLER.repeat(Math.ceil(promptTokens * 4 / FILLER.length));
  return `${request.workspace} ${filler}${formatTag(request.tag)}` +
    `[[tokens=${tokens}]]`;
}
