/**
 * Sends the planned requests as callers would, and records their results.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { fetchJson, type HttpResult, sendCall } from "./http_call.ts";
import {
  buildUnaccounted,
  checkAnswer,
  isRunOutcome,
  type Outcome,
} from "./outcomes.ts";
import type { PlannedRequest } from "./workload.ts";

const MAX_CONNECT_ATTEMPTS = 8;
const STATUS_DELAY_MS = 300;

/** A request and its result. */
export interface RequestResult {
  request: PlannedRequest;
  requestId: string | undefined;
  /** Port of the entry VM that received it. */
  port: number;
  outcome: Outcome;
}

interface EntriesAnswer {
  entries: { vm: string; address: string; port: number }[];
  ttl_ms: number;
}

interface RequestStatusAnswer {
  outcome?: string;
}

/** Callers that share one answer to `GET /v1/entries`. */
export class Callers {
  readonly results: RequestResult[] = [];
  /** Refused connections, and failed refreshes of the entry addresses. */
  failedConnects = 0;
  readonly #killedPorts = new Set<number>();
  #ports: number[] = [];
  #expiresAt = 0;
  #next = 0;

  static create(): Callers {
    return new Callers();
  }

  /** Fetches the entry addresses from an entry VM; returns their number. */
  async fetchEntries(port: number): Promise<number> {
    const call = { port, method: "GET", path: "/v1/entries" };
    const answer = await fetchJson<EntriesAnswer>(call);
    this.#ports = answer.entries.map((entry) => entry.port);
    this.#expiresAt = performance.now() + answer.ttl_ms;
    return this.#ports.length;
  }

  /**
   * Records that the VM at `port` was killed, so that its requests in flight
   * may have an unknown outcome.
   */
  noteKilled(port: number): void {
    this.#killedPorts.add(port);
  }

  /**
   * Sends every request at its scheduled time; resolves when all have ended.
   */
  async run(requests: readonly PlannedRequest[]): Promise<void> {
    const startedAt = performance.now();
    const tasks: Promise<void>[] = [];
    for (const request of requests) {
      const waitMs = startedAt + request.atMs - performance.now();
      if (waitMs > 0) await sleep(waitMs);
      if (performance.now() > this.#expiresAt) await this.#renewEntries();
      tasks.push(this.#runRequest(request));
    }
    await Promise.all(tasks);
  }

  /** Refreshes the entry addresses; keeps the old ones if no VM answers. */
  async #renewEntries(): Promise<void> {
    for (const port of this.#ports) {
      try {
        await this.fetchEntries(port);
        return;
      } catch {
        this.failedConnects++;
      }
    }
  }

  async #runRequest(request: PlannedRequest): Promise<void> {
    if (request.behaviour === "resubmits") {
      await this.#runResubmitted(request);
      return;
    }
    this.results.push(await this.#sendOnce(request, {}));
  }

  /** Obtains a request id, then sends the request under it through two VMs. */
  async #runResubmitted(request: PlannedRequest): Promise<void> {
    let id: string;
    try {
      const answer = await fetchJson<{ request_id: string }>({
        port: this.#getPort(),
        method: "POST",
        path: "/v1/requests",
        headers: { authorization: `Bearer ${request.key}` },
      });
      id = answer.request_id;
    } catch (thrown) {
      const outcome = buildUnaccounted(
        `Could not obtain a request id: ${String(thrown)}`,
      );
      const failure = { request, requestId: undefined, port: 0, outcome };
      this.results.push(failure);
      return;
    }
    const headers = { "x-request-id": id };
    this.results.push(await this.#sendOnce(request, headers));
    this.results.push(await this.#sendOnce(request, headers));
  }

  async #sendOnce(
    request: PlannedRequest,
    headers: Record<string, string>,
  ): Promise<RequestResult> {
    const { result, port } = await this.#sendToAnyEntry(request, headers);
    const requestId = headers["x-request-id"] ?? getRequestId(result);
    const outcome = await match(result)
      .with(
        { kind: "whole" },
        (whole) => checkAnswer(whole, request.expected),
      )
      .with({ kind: "left" }, (): Outcome => ({ kind: "cancelled" }))
      .with(
        { kind: "not_connected" },
        () => buildUnaccounted("Could not connect to any entry VM"),
      )
      .with(
        { kind: "broken" },
        ({ message }) =>
          this.#fetchOutcome(request, { requestId, port, message }),
      )
      .exhaustive();
    return { request, requestId, port, outcome };
  }

  async #sendToAnyEntry(
    request: PlannedRequest,
    headers: Record<string, string>,
  ): Promise<{ result: HttpResult; port: number }> {
    for (let count = 1;; count++) {
      const port = this.#getPort();
      const result = await sendCall({
        port,
        method: request.method,
        path: request.path,
        headers: {
          authorization: `Bearer ${request.key}`,
          "x-request-class": request.className,
          ...headers,
        },
        ...(request.body !== undefined && { body: request.body }),
        ...(request.abortAfterBytes !== undefined &&
          { abortAfterBytes: request.abortAfterBytes }),
      });
      const canRetry = result.kind === "not_connected" &&
        count < MAX_CONNECT_ATTEMPTS;
      if (!canRetry) return { result, port };
      this.failedConnects++;
    }
  }

  /**
   * Fetches the outcome of a request whose connection broke, from another VM.
   * Without a status, the outcome is `unknown` if the VM that received the
   * request was killed, and a fault otherwise.
   */
  async #fetchOutcome(
    request: PlannedRequest,
    broken: { requestId: string | undefined; port: number; message: string },
  ): Promise<Outcome> {
    const isKilled = this.#killedPorts.has(broken.port);
    const unknown: Outcome = isKilled
      ? { kind: "lost", outcome: "unknown" }
      : buildUnaccounted(
        `Connection lost and request status unavailable: ${broken.message}`,
      );
    if (broken.requestId === undefined) return unknown;
    await sleep(STATUS_DELAY_MS);
    const result = await sendCall({
      port: this.#getPort(broken.port),
      method: "GET",
      path: `/v1/requests/${encodeURIComponent(broken.requestId)}`,
      headers: { authorization: `Bearer ${request.key}` },
    });
    if (result.kind !== "whole" || result.status !== 200) return unknown;
    const status = JSON.parse(result.body) as RequestStatusAnswer;
    if (isRunOutcome(status.outcome)) {
      return { kind: "lost", outcome: status.outcome };
    }
    return buildUnaccounted(
      `Connection lost, but the request status is ${status.outcome}`,
    );
  }

  /** Returns the entry ports in turn, skipping `except`. */
  #getPort(except?: number): number {
    const port = this.#ports[this.#next++ % this.#ports.length]!;
    if (port !== except || this.#ports.length === 1) return port;
    return this.#getPort(except);
  }
}

function getRequestId(result: HttpResult): string | undefined {
  if (result.kind === "not_connected") return undefined;
  return result.headers["x-request-id"];
}
