/**
 * Decides which requests a draining VM still takes.
 *
 * A request that is refused before it runs is answered by another VM moments
 * later. One that is cut when this VM ends has cost its caller all that time. So
 * what cannot be finished is not taken while others serve.
 *
 * @module
 */
import type { ClassName } from "../ids.ts";
import { AnswerTimes } from "./answer_times.ts";
import type { Clock } from "./clock.ts";

/** Another VM takes the request at once. */
const ELSEWHERE_RETRY_MS = 10;
/** A VM that is restarted may serve again by then. */
const RESTART_RETRY_MS = 500;

/** The times of a drain, by `Clock.now()`. */
export interface DrainTimes {
  /** Until then callers may not know of any other VM. */
  addressedUntil: number;
  /** When the requests that are left are cut. */
  endsAt: number;
}

/** What is known of a request that was not sent yet; times by `Clock.now()`. */
export interface UnsentRequest {
  className: ClassName;
  arrivedAt: number;
  deadlineAt: number;
  /** Whether it is a call that may run at most once. */
  isSingleCall: boolean;
}

/** Options of `DrainAdmission`. */
export interface DrainAdmissionOptions {
  clock: Clock;
  /** Number of other VMs that serve callers. */
  countOthers: () => number;
}

/** Takes all requests until a drain begins, and then what can be finished. */
export class DrainAdmission {
  readonly #options: DrainAdmissionOptions;
  readonly #answerTimes: AnswerTimes;
  /** How long answers took before the drain, by class. */
  readonly #longMs = new Map<ClassName, number | undefined>();
  #times: DrainTimes | undefined;
  #refused = 0;

  constructor(options: DrainAdmissionOptions) {
    this.#options = options;
    this.#answerTimes = AnswerTimes.create(options.clock);
  }

  static create(options: DrainAdmissionOptions): DrainAdmission {
    return new DrainAdmission(options);
  }

  /** Requests that were refused since the drain began. */
  get refused(): number {
    return this.#refused;
  }

  /** Records the time of a whole answer, in milliseconds. */
  noteAnswered(className: ClassName, ms: number): void {
    this.#answerTimes.add(className, ms);
  }

  /** Takes no more than what can be finished. */
  startDraining(times: DrainTimes): void {
    this.#times = times;
  }

  /** Whether to run a request that was not sent yet. */
  canTake(request: UnsentRequest): boolean {
    return this.#times === undefined ||
      this.#isFinishable(request, this.#times);
  }

  /** Counts a request that was refused since it can't be finished. */
  noteRefused(): void {
    this.#refused += 1;
  }

  /** When the caller of a refused request may come back, in milliseconds. */
  computeRetryMs(): number {
    return this.#hasOthers() ? ELSEWHERE_RETRY_MS : RESTART_RETRY_MS;
  }

  #isFinishable(
    { className, arrivedAt, deadlineAt, isSingleCall }: UnsentRequest,
    { addressedUntil, endsAt }: DrainTimes,
  ): boolean {
    if (deadlineAt <= endsAt) return true;
    if (this.#options.clock.now() >= addressedUntil) return false;
    if (!this.#hasOthers()) return true;
    // Cut, it can't be repeated, and replicas may be slower than they were.
    if (isSingleCall) return false;
    const longMs = this.#getLongMs(className);
    return longMs !== undefined && arrivedAt + longMs <= endsAt;
  }

  #getLongMs(className: ClassName): number | undefined {
    if (!this.#longMs.has(className)) {
      const longMs = this.#answerTimes.computeLongMs(className);
      this.#longMs.set(className, longMs);
    }
    return this.#longMs.get(className);
  }

  #hasOthers(): boolean {
    return this.#options.countOthers() > 0;
  }
}
