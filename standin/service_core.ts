/**
 * A plain service without sockets: idempotent look-ups, and posts (holds) that
 * must not be repeated. Counts executions by request id and injects faults.
 *
 * @module
 */
import { match, P } from "ts-pattern";

/** A fault injected into a call. */
export type ServiceFault =
  /** Answers 503 with `x-not-started`; no work is done. */
  | "not_started"
  /** Closes the connection before the work. */
  | "cut_before"
  /** Closes the connection after the work. */
  | "cut_after"
  /** Does the work and never answers. */
  | "hang"
  /** Answers 500 after the work. */
  | "failed";

/** The service's answer to one call. */
export type ServiceAnswer =
  | {
    kind: "answer";
    status: number;
    headers: Record<string, string>;
    body: unknown;
  }
  | { kind: "cut" }
  | { kind: "silent" };

/** One call to the service. */
export interface ServiceCall {
  method: string;
  path: string;
  requestId: string;
  body: string;
}

/** An in-memory service with holds and look-ups. */
export class ServiceCore {
  readonly #calls = new Map<string, number>();
  readonly #executions = new Map<string, number>();
  #faults: ServiceFault[] = [];
  #holds = 0;

  static create(): ServiceCore {
    return new ServiceCore();
  }

  /** Injects `faults` into the next calls, one each, in order. */
  setFaults(faults: readonly ServiceFault[]): void {
    this.#faults = [...faults];
  }

  /** Counts the executions of the hold of `requestId`. */
  countExecutions(requestId: string): number {
    return this.#executions.get(requestId) ?? 0;
  }

  /**
   * Returns the number of calls that did any work, including look-ups, by
   * request id.
   */
  listCalls(): Record<string, number> {
    return Object.fromEntries(this.#calls);
  }

  /** Returns the number of executed holds by request id. */
  listExecutions(): Record<string, number> {
    return Object.fromEntries(this.#executions);
  }

  /** Executes one call. */
  handleCall(call: ServiceCall): ServiceAnswer {
    const fault = this.#faults.shift();
    if (fault === "not_started") return buildNotStarted();
    if (fault === "cut_before") return { kind: "cut" };
    const answer = this.#runCall(call);
    return match(fault)
      .with(undefined, () => answer)
      .with("cut_after", () => ({ kind: "cut" }) as const)
      .with("hang", () => ({ kind: "silent" }) as const)
      .with(
        "failed",
        () =>
          buildAnswer(500, {
            error: "Injected failure after the work was done",
          }),
      )
      .exhaustive();
  }

  #runCall(call: ServiceCall): ServiceAnswer {
    const count = this.#calls.get(call.requestId) ?? 0;
    this.#calls.set(call.requestId, count + 1);
    return match([call.method, call.path.split("?")[0]] as const)
      .with(["POST", P.string], () => this.#addHold(call))
      .with(
        ["GET", P.string.startsWith("/lookup/")],
        ([, path]) => buildAnswer(200, buildLookupBody(path)),
      )
      .otherwise(() =>
        buildAnswer(200, { method: call.method, path: call.path })
      );
  }

  #addHold(call: ServiceCall): ServiceAnswer {
    const count = this.countExecutions(call.requestId) + 1;
    this.#executions.set(call.requestId, count);
    this.#holds++;
    return buildAnswer(201, {
      hold: this.#holds,
      request_id: call.requestId,
      echo: call.body,
    });
  }
}

/** Builds the body of a look-up's answer, a pure function of `path`. */
export function buildLookupBody(path: string) {
  return { path, slots: [path.length, path.length + 1] };
}

function buildAnswer(status: number, body: unknown): ServiceAnswer {
  return { kind: "answer", status, headers: {}, body };
}

function buildNotStarted(): ServiceAnswer {
  return {
    kind: "answer",
    status: 503,
    headers: { "x-not-started": "1" },
    body: { error: "Refused before any work was done" },
  };
}
