import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRequest } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import {
  answerStream,
  buildEngineEvents,
  type EngineFault,
} from "../support/scripted_engine.ts";

const SEED = 20_261;
const RUNS = 600;
const ENGINES = ["u1", "u2", "u3", "u4", "u5"];
const MAX_BYTES = 2_600;

interface Plan {
  isChat: boolean;
  includeUsage: boolean;
  chunkBytes: number;
  engines: number;
  faults: EngineFault[];
}

const kinds = fc.constantFrom(
  "broken" as const,
  "between_bytes_timeout" as const,
  "total_timeout" as const,
);
const fault: fc.Arbitrary<EngineFault> = fc.oneof(
  fc.record({ breakAt: fc.nat(MAX_BYTES), kind: kinds }),
  fc.record({ breakAt: fc.nat(MAX_BYTES), endsSilently: fc.constant(true) }),
  fc.record({ failsAtHead: fc.constant(true), mayHaveRun: fc.boolean() }),
  fc.record({ wrongIdFrom: fc.nat(9) }),
);
const plan: fc.Arbitrary<Plan> = fc.record({
  isChat: fc.boolean(),
  includeUsage: fc.boolean(),
  chunkBytes: fc.integer({ min: 1, max: 700 }),
  engines: fc.integer({ min: 1, max: 5 }),
  faults: fc.array(fault, { maxLength: 5 }),
});

function buildBody(plan: Plan): Record<string, unknown> {
  return {
    model: "m1",
    stream: true,
    stream_options: { include_usage: plan.includeUsage },
    ...(plan.isChat
      ? { messages: [{ role: "user", content: "Hola" }] }
      : { prompt: "Hola" }),
  };
}

/** The complete answer that each engine would send on its own. */
function listExpected(requestId: string, body: unknown): string[] {
  const call = {
    headers: { "x-request-id": requestId },
    body: Buffer.from(JSON.stringify(body)),
  };
  return [0, 1, 2, 3, 4, 5]
    .map((engine) => buildEngineEvents(call, { engine }).join(""));
}

describe("a stream under any sequence of faults", () => {
  // Guards against answers with missing, repeated or foreign text or two ends,
  // and against partial answers that look complete. Engines break, stall, end
  // early or mix up answers at any byte; either part of an event is forwarded,
  // or the stream resumes at the wrong token.
  it("is complete byte for byte, or visibly aborted", async () => {
    const counts = { complete: 0, aborted: 0, refused: 0, resumed: 0 };
    await fc.assert(
      fc.asyncProperty(plan, async (plan) => {
        const vm = new RequestVm(VirtualClock.create(), {
          retryShare: 4,
          upstreams: ENGINES.slice(0, plan.engines),
        });
        vm.upstreams.answer = async (call, engine) => {
          await Promise.resolve();
          const { chunkBytes, faults } = plan;
          const fault = faults[engine] ?? {};
          return answerStream(call, { engine, fault, chunkBytes });
        };
        const body = buildBody(plan);
        const path = plan.isChat ? "/v1/chat/completions" : "/v1/completions";
        const { sink, done } = vm.send(buildRequest("POST", path, { body }));
        await done;
        const isComplete = sink.status !== 200 || sink.text.includes("[DONE]");
        expect(sink.isEnded).toBe(isComplete);
        expect(sink.isDestroyed).toBe(!isComplete);
        if (sink.status !== 200) {
          counts.refused++;
          expect(sink.json.error.outcome).toMatch(/^(not_run|unknown|ran)$/);
          return;
        }
        const expected = listExpected(sink.headers["x-request-id"]!, body);
        if (sink.text.includes("[DONE]")) {
          counts.complete++;
          if (vm.upstreams.calls.length > 1) counts.resumed++;
          expect(expected).toContain(sink.text);
          return;
        }
        counts.aborted++;
        const at = sink.text.lastIndexOf("event: error\n");
        expect(at).toBeGreaterThan(0);
        const begun = sink.text.slice(0, at);
        expect(expected.some((text) => text.startsWith(begun))).toBe(true);
        expect(begun).not.toContain('"stop"');
      }),
      { seed: SEED, numRuns: RUNS },
    );
    // The generated plans must reach every kind of result.
    expect(Object.values(counts).every((count) => count >= 10)).toBe(true);
  });
});
