/**
 * Sends the planned requests as callers would, and notes what became of them.
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

const CONNECT_TRIES = 8;
const FATE_WAIT_MS = 300;

/** A request and what became of it. */
export interface Account {
  request: PlannedRequest;
  requestId: string | undefined;
  /** The port of the entry VM that it went to. */
  port: number;
  outcome: Outcome;
}

interface EntriesAnswer {
  entries: { vm: string; address: string; port: number }[];
  ttl_ms: number;
}

interface FateAnswer {
  outcome?: string;
}

/** Callers that share one answer of `GET /v1/entries`. */
export class Callers {
  readonly accounts: Account[] = [];
  /** Tries on an address where nobody listens any more. */
  failedConnects = 0;
  readonly #gonePorts = new Set<number>();
  #ports: number[] = [];
  #expiresAt = 0;
  #next = 0;

  static create(): Callers {
    return new Callers();
  }

  /** Asks an entry VM which addresses to use; gives how many there are. */
  async fetchEntries(port: number): Promise<number> {
    const call = { port, method: "GET", path: "/v1/entries" };
    const answer = await fetchJson<EntriesAnswer>(call);
    this.#ports = answer.entries.map((entry) => entry.port);
    this.#expiresAt = performance.now() + answer.ttl_ms;
    return this.#ports.length;
  }

  /** A VM that was killed: what it had in hand may be lost, and so told. */
  noteGone(port: number): void {
    this.#gonePorts.add(port);
  }

  /** Sends every request at its time; resolves when all have come to an end. */
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

  /** Keeps the old answer where no VM gives a new one. */
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
    this.accounts.push(await this.#sendOnce(request, {}));
  }

  /** Takes an id first, then sends the same request through two VMs. */
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
      const outcome = buildUnaccounted(`No request id: ${String(thrown)}`);
      const account = { request, requestId: undefined, port: 0, outcome };
      this.accounts.push(account);
      return;
    }
    const headers = { "x-request-id": id };
    this.accounts.push(await this.#sendOnce(request, headers));
    this.accounts.push(await this.#sendOnce(request, headers));
  }

  async #sendOnce(
    request: PlannedRequest,
    headers: Record<string, string>,
  ): Promise<Account> {
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
        () => buildUnaccounted("No entry VM could be connected to"),
      )
      .with(
        { kind: "broken" },
        ({ message }) => this.#findFate(request, { requestId, port, message }),
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
        ...(request.leaveAfterBytes !== undefined &&
          { leaveAfterBytes: request.leaveAfterBytes }),
      });
      const canGoOn = result.kind === "not_connected" && count < CONNECT_TRIES;
      if (!canGoOn) return { result, port };
      this.failedConnects++;
    }
  }

  /** Asks another VM what became of a request whose connection broke. */
  async #findFate(
    request: PlannedRequest,
    broken: { requestId: string | undefined; port: number; message: string },
  ): Promise<Outcome> {
    const isGone = this.#gonePorts.has(broken.port);
    const unknown: Outcome = isGone
      ? { kind: "lost", outcome: "unknown" }
      : buildUnaccounted(`Cut and no fate is told: ${broken.message}`);
    if (broken.requestId === undefined) return unknown;
    await sleep(FATE_WAIT_MS);
    const result = await sendCall({
      port: this.#getPort(broken.port),
      method: "GET",
      path: `/v1/requests/${encodeURIComponent(broken.requestId)}`,
      headers: { authorization: `Bearer ${request.key}` },
    });
    if (result.kind !== "whole" || result.status !== 200) return unknown;
    const fate = JSON.parse(result.body) as FateAnswer;
    if (isRunOutcome(fate.outcome)) {
      return { kind: "lost", outcome: fate.outcome };
    }
    return buildUnaccounted(`Cut, though its fate is ${fate.outcome}`);
  }

  /** Entry ports in turn. */
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
