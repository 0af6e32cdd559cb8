/**
 * Seeded example series for the burn report: each VM is a real recorder under a
 * synthetic load in virtual time.
 *
 * @module
 */
import { toId } from "../../src/ids.ts";
import { BurnRecorder } from "../../src/process/burn_recorder.ts";
import type { BurnSeries } from "../../src/process/burn_stats.ts";
import { type Random, SeededRandom } from "../../src/process/random.ts";
import type { FinishedRequest } from "../../src/process/services.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const MINUTE_MS = 60_000;

/** A request class of the example load. */
export interface ExampleClass {
  className: string;
  tier: string;
  objective: number;
  /** Share of requests that miss their objective in normal operation. */
  badShare: number;
  /** Share of requests that miss it while the class is failing. */
  lateBadShare: number;
  perMinute: number;
}

/** Request classes of the example load; "chat" fails late. */
export const EXAMPLE_CLASSES: readonly ExampleClass[] = [
  {
    className: "chat",
    tier: "interactive",
    objective: 0.99,
    badShare: 0.004,
    lateBadShare: 0.25,
    perMinute: 6,
  },
  {
    className: "summary",
    tier: "interactive",
    objective: 0.95,
    badShare: 0.02,
    lateBadShare: 0.02,
    perMinute: 2,
  },
  {
    className: "reminder",
    tier: "background",
    objective: 0.9,
    badShare: 0.12,
    lateBadShare: 0.15,
    perMinute: 1,
  },
];

const WORKSPACES = ["north", "south", "garages"];
const UPSTREAMS = ["engine-1", "engine-2", "engine-3"];
const BAD: readonly { result: FinishedRequest["result"]; step: string }[] = [
  { result: "late", step: "queued" },
  { result: "late", step: "first_token" },
  { result: "refused", step: "queued" },
  { result: "lost", step: "sent" },
];

/** One incarnation of a VM in an example. */
export class ExampleVm {
  readonly clock = VirtualClock.create();
  readonly vm: string;
  readonly incarnation: string;
  readonly #recorder: BurnRecorder;
  readonly #random: Random;
  /** Requests served so far, in order of completion. */
  readonly served: (FinishedRequest & { endedMs: number })[] = [];

  constructor(options: { vm: string; incarnation: string; seed: number }) {
    this.vm = options.vm;
    this.incarnation = options.incarnation;
    this.#random = SeededRandom.create(options.seed);
    this.#recorder = BurnRecorder.create(this.clock);
  }

  static create(
    options: { vm: string; incarnation: string; seed: number },
  ): ExampleVm {
    return new ExampleVm(options);
  }

  /** Serves load for `minutes`; `isFailing` selects `lateBadShare`. */
  async runMinutes(
    minutes: number,
    options: {
      classes?: readonly ExampleClass[];
      isFailing?: boolean;
    } = {},
  ): Promise<void> {
    for (let minute = 0; minute < minutes; minute++) {
      await this.clock.run(MINUTE_MS);
      for (const example of options.classes ?? EXAMPLE_CLASSES) {
        for (let count = 0; count < example.perMinute; count++) {
          this.record(this.#buildRequest(example, options.isFailing ?? false));
        }
      }
    }
  }

  record(request: FinishedRequest): void {
    this.#recorder.record(request);
    this.served.push({ ...request, endedMs: this.clock.now() });
  }

  collect(): BurnSeries {
    return this.#recorder.collect();
  }

  #buildRequest(
    example: ExampleClass,
    isFailing: boolean,
  ): FinishedRequest {
    const share = isFailing ? example.lateBadShare : example.badShare;
    const isBad = this.#random.next() < share;
    const bad = BAD[this.#random.nextInt(BAD.length)]!;
    const upstream = UPSTREAMS[
      isBad && this.#random.next() < 0.7
        ? 0
        : this.#random.nextInt(UPSTREAMS.length)
    ]!;
    const firstTokenMs = 50 + 400 * this.#random.next() * (isBad ? 10 : 1);
    return {
      requestId: toId(
        `r~${this.vm}~${this.incarnation}~${
          this.served.length.toString(36)
        }~1~code`,
      ),
      workspace: toId(WORKSPACES[this.#random.nextInt(WORKSPACES.length)]!),
      className: toId(example.className),
      pool: toId("assist"),
      upstream: bad.step === "queued" && isBad ? undefined : toId(upstream),
      result: isBad ? bad.result : "met",
      step: isBad ? bad.step : "first_token",
      firstTokenMs: bad.result === "refused" && isBad
        ? undefined
        : firstTokenMs,
      betweenTokensMs: 20,
      totalMs: firstTokenMs + 1_000,
      tokens: 50,
      wastedTokens: isBad ? 10 : 0,
    };
  }
}

/** The classes' objectives in the form of the operator API. */
export function buildObjectives(
  workspaces: Record<string, Record<string, number>> = {},
): object[] {
  return EXAMPLE_CLASSES.map(({ className, tier, objective }) => ({
    class: className,
    tier,
    objective,
    workspaces: workspaces[className] ?? {},
  }));
}

/** A VM's part of `GET /v1/burn`. */
export function buildVmAnswer(vm: ExampleVm): object {
  const series = vm.collect();
  return {
    vm: vm.vm,
    incarnation: vm.incarnation,
    up_ms: series.gatheredMs,
    config_version: 1,
    series,
  };
}
