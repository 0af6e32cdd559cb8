import fc from "fast-check";
import { describe, expect, it } from "vitest";
import type {
  UpstreamAnswer,
  UpstreamCall,
} from "../../src/connection/upstream_transport.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { LossyPeers } from "../support/lossy_peers.ts";
import { buildRequest, type FakeSink } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import { answerJson, createError } from "../support/scripted_engine.ts";

const SEED = 4_711;
const RUNS = 400;
const VMS = ["vm-a", "vm-b", "vm-c"];
const SETTLE_MS = 20 * 60_000;
const FAULTS = {
  loseCall: 0.15,
  loseAnswer: 0.15,
  repeatCall: 0.2,
  delayCall: 0.2,
  maxDelayMs: 3_000,
};

type Step =
  | { kind: "submit"; vm: number; id: number }
  | { kind: "plain"; vm: number }
  | { kind: "wait"; ms: number }
  | { kind: "restart"; vm: number }
  | { kind: "disconnect" };

const vmIndex = fc.nat(VMS.length - 1);
const submit = fc.record({
  kind: fc.constant("submit" as const),
  vm: vmIndex,
  id: fc.nat(2),
});
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: submit },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant("plain" as const), vm: vmIndex }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.oneof(fc.nat(400), fc.nat(5_000), fc.nat(400_000)),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("restart" as const),
      vm: vmIndex,
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "disconnect" as const }) },
);

/** Three VMs in front of a booking service that records its runs. */
class Fleet {
  readonly clock = VirtualClock.create();
  readonly runs: { id: string; submission: string }[] = [];
  readonly sinks = new Map<string, FakeSink>();
  readonly #random: SeededRandom;
  readonly #peers: LossyPeers;
  readonly #vms: RequestVm[] = [];
  readonly #ids: string[] = [];
  readonly #tasks: Promise<void>[] = [];
  #incarnations = 0;

  constructor(seed: number) {
    this.#random = SeededRandom.create(seed);
    this.#peers = new LossyPeers(this.clock, this.#random, FAULTS);
    VMS.forEach((_vm, index) => this.#startVm(index));
    for (let id = 0; id < 3; id++) {
      this.#ids.push(this.#vms[id]!.claims.issueId());
    }
  }

  async run(step: Step): Promise<void> {
    switch (step.kind) {
      case "submit":
        return this.#send(step.vm, this.#ids[step.id]);
      case "plain":
        return this.#send(step.vm, undefined);
      case "wait":
        return await this.clock.run(step.ms);
      case "restart":
        return this.#startVm(step.vm);
      case "disconnect":
        [...this.sinks.values()].at(-1)?.controller.abort();
    }
  }

  async settle(): Promise<void> {
    await this.clock.run(SETTLE_MS);
    await Promise.all(this.#tasks);
  }

  #startVm(index: number): void {
    const vm = new RequestVm(this.clock, {
      vm: VMS[index]!,
      incarnation: `i${this.#incarnations}`,
      seed: this.#incarnations++,
      peers: this.#peers,
      retryShare: 10,
    });
    vm.upstreams.answer = (call) => this.#answer(call);
    // A late grant simulates a pause of the process.
    vm.leases.delaysMs = Array.from({ length: 50 }, () => this.#pickPause());
    this.#vms[index] = vm;
  }

  #pickPause(): number {
    const draw = this.#random.next();
    if (draw < 0.6) return 0;
    return draw < 0.9 ? this.#random.nextInt(3_000) : 400_000;
  }

  #send(vm: number, id: string | undefined): void {
    const submission = `s${this.sinks.size}`;
    const headers: Record<string, string> = { "x-submission": submission };
    if (id !== undefined) headers["x-request-id"] = id;
    const { sink, done } = this.#vms[vm]!.send(
      buildRequest("POST", "/services/booking/hold", {
        headers,
        arrivedAt: this.clock.now(),
      }),
    );
    this.sinks.set(submission, sink);
    this.#tasks.push(done);
  }

  async #answer(call: UpstreamCall): Promise<UpstreamAnswer> {
    expect(call.freshConnection).toBe(true);
    const draw = this.#random.next();
    const fail = (mayHaveRun: boolean) => createError(call, { mayHaveRun });
    await this.clock.sleep(this.#random.nextInt(300), call.signal);
    if (draw < 0.15) throw fail(false);
    if (draw < 0.25) throw fail(true);
    if (draw < 0.35) {
      const headers = { "x-not-started": "1" };
      return { ...answerJson(503, {}), headers };
    }
    this.runs.push({
      id: call.headers["x-request-id"]!,
      submission: call.headers["x-submission"]!,
    });
    if (draw < 0.5) throw fail(true);
    await this.clock.sleep(this.#random.nextInt(300), call.signal);
    if (call.signal.aborted) throw fail(true);
    return answerJson(200, { run: this.runs.length });
  }
}

describe("work that is not idempotent", () => {
  // Guards against duplicate bookings, and against not_run for a booking that
  // was made. Requests are resubmitted through any VM while calls between VMs
  // are lost, repeated and delayed, VMs are replaced and paused, callers
  // disconnect and sends fail. A failure means that an execution was granted
  // twice, or that an outcome covered the last attempt only.
  it("runs at most once, and never if the outcome was not_run", async () => {
    const counts = { runs: 0, notRun: 0, replays: 0, unknown: 0 };
    await fc.assert(
      fc.asyncProperty(
        fc.nat(1_000_000),
        fc.array(step, { minLength: 4, maxLength: 24 }),
        async (seed, steps) => {
          const fleet = new Fleet(seed);
          for (const each of steps) await fleet.run(each);
          await fleet.settle();
          const ids = fleet.runs.map((run) => run.id);
          expect(new Set(ids).size).toBe(ids.length);
          counts.runs += ids.length;
          for (const [submission, sink] of fleet.sinks) {
            const ran = fleet.runs.some((run) => run.submission === submission);
            // A caller that disconnected before its answer received nothing.
            if (sink.text === "") continue;
            if (sink.status === 200) {
              if (!ran) counts.replays++;
              continue;
            }
            const outcome = sink.json.error.outcome;
            if (outcome === "not_run") {
              counts.notRun++;
              expect(ran).toBe(false);
            } else counts.unknown++;
          }
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
    // The generated plans must reach every kind of result.
    for (const [kind, count] of Object.entries(counts)) {
      expect(count, kind).toBeGreaterThan(50);
    }
  });
});
