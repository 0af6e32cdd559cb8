/**
 * Where a request's time goes.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { RequestStepName } from "./request_status.ts";

/** What a request waits for. */
export type RunPhase =
  | "claim"
  | "admit"
  | "queue"
  | "send"
  | "upstream"
  | "stream"
  | "end";

/** Adds up the time of each phase, told by the steps between them. */
export class RunPhases {
  readonly #onPhase: (phase: RunPhase, ms: number) => void;
  readonly #spentMs = new Map<RunPhase, number>();
  #current: RunPhase = "claim";
  #since: number;

  constructor(
    startedAt: number,
    onPhase: (phase: RunPhase, ms: number) => void,
  ) {
    this.#since = startedAt;
    this.#onPhase = onPhase;
  }

  /** `onPhase` hears of each stay in a phase as it ends. */
  static create(
    startedAt: number,
    onPhase: (phase: RunPhase, ms: number) => void,
  ): RunPhases {
    return new RunPhases(startedAt, onPhase);
  }

  get current(): RunPhase {
    return this.#current;
  }

  /** The phase that took longest in all. */
  get slowest(): RunPhase {
    let slowest = this.#current;
    for (const [phase, ms] of this.#spentMs) {
      if (ms > (this.#spentMs.get(slowest) ?? 0)) slowest = phase;
    }
    return slowest;
  }

  /** A step at `now` ends one phase and begins the next. */
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

function chooseNextPhase(step: RequestStepName): RunPhase {
  return match(step)
    .returnType<RunPhase>()
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
    .with("sent", () => "upstream")
    .with("first_token", () => "stream")
    .with("answered", "refused", "cancelled", "unknown", () => "end")
    .exhaustive();
}
