/**
 * A plain service in virtual time, with a bounded number of workers and
 * injected connection losses before or after the work.
 *
 * @module
 */
import type { Clock } from "../../src/process/clock.ts";
import type { Random } from "../../src/process/random.ts";
import { findTag } from "./tags.ts";

const WORKERS = 16;
const MEAN_WORK_MS = 40;

/** Result of one call. */
export type ServiceEnd =
  | { kind: "answer"; body: string }
  | { kind: "cut" };

/** Shares of calls whose connection is closed before or after the work. */
export interface ServiceFaults {
  cutBefore: number;
  cutAfter: number;
}

/** One replica of a plain service. */
export class VirtualService {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #executions = new Map<number, number>();
  readonly #waiting: (() => void)[] = [];
  #busy = 0;
  #faults: ServiceFaults = { cutBefore: 0, cutAfter: 0 };

  constructor(clock: Clock, random: Random) {
    this.#clock = clock;
    this.#random = random;
  }

  static create(clock: Clock, random: Random): VirtualService {
    return new VirtualService(clock, random);
  }

  setFaults(faults: ServiceFaults): void {
    this.#faults = faults;
  }

  /** Returns the number of executions of each call, by tag. */
  listExecutions(): ReadonlyMap<number, number> {
    return this.#executions;
  }

  /** Executes one call. */
  async runCall(path: string, body: string): Promise<ServiceEnd> {
    const draw = this.#random.next();
    const { cutBefore, cutAfter } = this.#faults;
    if (draw < cutBefore) return { kind: "cut" };
    await this.#acquireWorker();
    const workMs = -Math.log(1 - this.#random.next()) * MEAN_WORK_MS;
    const tag = findTag(`${path} ${body}`);
    this.#executions.set(tag, (this.#executions.get(tag) ?? 0) + 1);
    await this.#clock.sleep(workMs);
    this.#releaseWorker();
    if (draw < cutBefore + cutAfter) return { kind: "cut" };
    return { kind: "answer", body: formatServiceAnswer(tag) };
  }

  async #acquireWorker(): Promise<void> {
    if (this.#busy >= WORKERS) {
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
      return;
    }
    this.#busy += 1;
  }

  #releaseWorker(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#busy -= 1;
    else next();
  }
}

/** Formats the service's answer to the call with `tag`. */
export function formatServiceAnswer(tag: number): string {
  return JSON.stringify({ tag, done: true });
}
