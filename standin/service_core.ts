/**
 * A plain service without sockets: look-ups that may be repeated, and posts
 * such as holds that may not, with counts by request id and faults on request.
 *
 * @module
 */
import { match, P } from "ts-pattern";

/** What the next holds meet with. */
export type ServiceFault =
  /** A 503 that says that nothing was done. */
  | "not_started"
  /** The connection is cut before the work. */
  | "cut_before"
  /** The connection is cut after the work. */
  | "cut_after"
  /** The work is done and no answer ever comes. */
  | "hang"
  /** A 500 after the work. */
  | "failed";

/** What the service answers to one call. */
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

/** Holds and look-ups in memory. */
export class ServiceCore {
  readonly #calls = new Map<string, number>();
  readonly #executions = new Map<string, number>();
  #faults: ServiceFault[] = [];
  #holds = 0;

  static create(): ServiceCore {
    return new ServiceCore();
  }

  /** The next calls meet with `faults`, one each, in order. */
  setFaults(faults: readonly ServiceFault[]): void {
    this.#faults = [...faults];
  }

  /** How often the hold of `requestId` was carried out. */
  countExecutions(requestId: string): number {
    return this.#executions.get(requestId) ?? 0;
  }

  /** Calls that did any work, look-ups too, by request id. */
  listCalls(): Record<string, number> {
    return Object.fromEntries(this.#calls);
  }

  /** Executions of every request id. */
  listExecutions(): Record<string, number> {
    return Object.fromEntries(this.#executions);
  }

  /** Carries one call out. */
  handleCall(call: ServiceCall): ServiceAnswer {
    const fault = this.#faults.shift();
    if (fault === "not_started") return buildNotStarted();
    if (fault === "cut_before") return { kind: "cut" };
    const answer = this.#runCall(call);
    return match(fault)
      .with(undefined, () => answer)
      .with("cut_after", () => ({ kind: "cut" }) as const)
      .with("hang", () => ({ kind: "silent" }) as const)
      .with("failed", () => buildAnswer(500, { error: "Failed after work" }))
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

/** What a look-up under `path` gives: a pure function of the path. */
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
    body: { error: "Nothing was done" },
  };
}
