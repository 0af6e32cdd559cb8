/**
 * Measures the time that a request spends in each phase.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { RequestStepName } from "./request_status.ts";

/** A phase of a request, named after what it waits for. */
export type RequestPhase =
  | "claim"
  | "admit"
  | "queue"
  | "send"
  | "upstream"
  | "stream"
  | "end";

/** Adds up the time spent in each phase; steps mark the boundaries. */
export class RequestPhases {
  readonly #onPhase: (phase: RequestPhase, ms: number) => void;
  readonly #spentMs = new Map<RequestPhase, number>();
  #current: RequestPhase = "claim";
  #since: number;

  constructor(
    startedAt: number,
    onPhase: (phase: RequestPhase, ms: number) => void,
  ) {
    this.#since = startedAt;
    this.#onPhase = onPhase;
  }

  /** `onPhase` is called each time a phase ends, with its duration. */
  static create(
    startedAt: number,
    onPhase: (phase: RequestPhase, ms: number) => void,
  ): RequestPhases {
    return new RequestPhases(startedAt, onPhase);
  }

  get current(): RequestPhase {
    return this.#current;
  }

  /** The phase with the longest total time. */
  get slowest(): RequestPhase {
    let slowest = this.#current;
    for (const [phase, ms] of this.#spentMs) {
      if (ms > (this.#spentMs.get(slowest) ?? 0)) slowest = phase;
    }
    return slowest;
  }

  /** Applies a step at `now`, which may end one phase and start the next. */
  noteStep(step: RequestStepName, now: number): void {
    const next = chooseNextPhase(step);
    if (next === this.#current) return;
    const ms = now - this.#since;
    const before = this.#spentMs.get(this.#current) ?? 0;
    this.#spentMs.set(this.#current, before + ms);
    this.#onPhase(this.#current, ms);
    this.#current = next;
    this.#since = now;
  }
}

function chooseNextPhase(step: RequestStepName): RequestPhase {
  return match(step)
    .returnType<RequestPhase>()
    .with("arrived", () => "claim")
    .with("claimed", () => "admit")
    .with(
      "admitted",
      "queued",
      "passed_on",
      "retried",
      "preempted",
      "stream_broken",
      () => "queue",
    )
    .with("granted", "resumed", () => "send")
    .with("sent", "forwarded", () => "upstream")
    .with("first_token", () => "stream")
    .with("answered", "refused", "cancelled", "unknown", () => "end")
    .exhaustive();
}
