/**
 * Requests to a fleet of processes, and their results.
 *
 * @module
 */
import { fetchJson, type HttpResult, sendCall } from "../../demo/http_call.ts";
import { checkAnswer, type Outcome } from "../../demo/outcomes.ts";
import type { Expectation } from "../../demo/workload.ts";
import { EngineAnswer } from "../../standin/engine_answer.ts";
import { formatChatPrompt } from "../../standin/engine_body.ts";
import type { EngineServer, ServiceServer } from "../../standin/index.ts";
import { CALLER_KEY, MODEL } from "./process_records.ts";

const PEAK_POLL_MS = 5;
const AUTHORIZATION = { authorization: `Bearer ${CALLER_KEY}` };

/** The result of one request. */
export interface CallResult {
  requestId: string | undefined;
  result: HttpResult;
  /** `unaccounted` where the connection broke or the answer is wrong. */
  outcome: Outcome;
}

/** A chat to send. */
export interface ChatOptions {
  tokens: number;
  /** Part of the prompt, which it makes unique. */
  name: string;
  requestId?: string;
  /** The caller disconnects when it aborts. */
  signal?: AbortSignal;
}

/** Fetches a new request id from the VM that listens on `port`. */
export async function fetchRequestId(port: number): Promise<string> {
  const answer = await fetchJson<{ request_id: string }>({
    port,
    method: "POST",
    path: "/v1/requests",
    headers: AUTHORIZATION,
  });
  return answer.request_id;
}

/** Fetches a request's status from the VM that listens on `port`. */
export async function fetchRequestStatus(
  port: number,
  requestId: string,
): Promise<{ outcome: string; steps: { step: string; detail?: string }[] }> {
  return await fetchJson({
    port,
    method: "GET",
    path: `/v1/requests/${encodeURIComponent(requestId)}`,
    headers: AUTHORIZATION,
  });
}

/** Sends a streamed chat. */
export async function sendChat(
  port: number,
  options: ChatOptions,
): Promise<CallResult> {
  const { tokens, name } = options;
  const messages = [{
    role: "user",
    content: `[[tokens=${tokens}]] ${name}`,
  }];
  const maxTokens = 2 * tokens;
  const text = EngineAnswer.create({
    prompt: formatChatPrompt(messages),
    model: MODEL,
    maxTokens,
  }).getText();
  const body = JSON.stringify({
    model: MODEL,
    messages,
    max_tokens: maxTokens,
    stream: true,
  });
  const path = "/v1/chat/completions";
  return await send(
    {
      port,
      method: "POST",
      path,
      body,
      requestId: options.requestId,
      signal: options.signal,
    },
    { className: "chat", expected: { kind: "streamed_chat", text, tokens } },
  );
}

/** Sends a slot hold, which may run at most once. */
export async function sendHold(
  port: number,
  options: { name: string; requestId?: string },
): Promise<CallResult> {
  const body = JSON.stringify({ vehicle: options.name });
  const path = "/services/booking/holds";
  return await send(
    { port, method: "POST", path, body, requestId: options.requestId },
    { className: "hold", expected: { kind: "post", echo: body } },
  );
}

/** Sends a look-up, whose total-time target is one second. */
export async function sendLookup(
  port: number,
  name: string,
): Promise<CallResult> {
  const body = JSON.stringify({
    path: `/lookup/${name}`,
    slots: [`/lookup/${name}`.length, `/lookup/${name}`.length + 1],
  });
  const path = `/services/booking/lookup/${name}`;
  return await send(
    { port, method: "GET", path, body: undefined, requestId: undefined },
    { className: "lookup", expected: { kind: "lookup", body } },
  );
}

/** How often the services executed the request. */
export function countExecutions(
  services: readonly ServiceServer[],
  requestId: string,
): number {
  return services.reduce(
    (sum, service) => sum + service.core.countExecutions(requestId),
    0,
  );
}

/** The runs of the request on all engines. */
export function listRuns(engines: readonly EngineServer[], requestId: string) {
  return engines.flatMap((engine) => [...engine.core.listRuns(requestId)]);
}

async function send(
  call: {
    port: number;
    method: string;
    path: string;
    body: string | undefined;
    requestId: string | undefined;
    signal?: AbortSignal | undefined;
  },
  check: { className: string; expected: Expectation },
): Promise<CallResult> {
  const { requestId: givenId, body, signal, ...rest } = call;
  const result = await sendCall({
    ...rest,
    headers: {
      ...AUTHORIZATION,
      "x-request-class": check.className,
      ...(givenId !== undefined && { "x-request-id": givenId }),
    },
    ...(body !== undefined && { body }),
    ...(signal !== undefined && { signal }),
  });
  const requestId = givenId ?? findRequestId(result);
  if (result.kind === "whole") {
    const outcome = checkAnswer(result, check.expected);
    return { requestId, result, outcome };
  }
  const why = result.kind === "broken" ? result.message : result.kind;
  return { requestId, result, outcome: { kind: "unaccounted", why } };
}

function findRequestId(result: HttpResult): string | undefined {
  if (result.kind === "not_connected") return undefined;
  return result.headers["x-request-id"];
}

/** Samples the highest number of concurrent requests on any engine. */
export class PeakMonitor {
  readonly #engines: readonly EngineServer[];
  readonly #timer: NodeJS.Timeout;
  #peak = 0;

  constructor(engines: readonly EngineServer[]) {
    this.#engines = engines;
    this.#timer = setInterval(() => this.#note(), PEAK_POLL_MS);
  }

  static create(engines: readonly EngineServer[]): PeakMonitor {
    return new PeakMonitor(engines);
  }

  get peak(): number {
    return this.#peak;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #note(): void {
    const running = this.#engines.map(({ core }) =>
      core.running + core.waiting
    );
    this.#peak = Math.max(this.#peak, ...running);
  }
}
