import { setImmediate } from "node:timers/promises";
import { expect, it } from "vitest";
import { UpstreamError } from "../../src/connection/upstream_transport.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildRequest } from "../support/request_fakes.ts";
import { RequestVm } from "../support/request_vm.ts";
import { answerStream } from "../support/scripted_engine.ts";

const BLOCK = 1_024;
const SHARED = "shared ".repeat(BLOCK).slice(0, 2 * BLOCK);
const BAD = "crash ".repeat(BLOCK).slice(0, BLOCK);
const MAX_REACHED = 8;
const REQUESTS = 20;
const GAP_MS = 1_100;
const STEP_MS = 10;
const TURNS = 20;

function createVm(): { vm: RequestVm; clock: VirtualClock } {
  const clock = VirtualClock.create();
  const vm = new RequestVm(clock, {
    upstreams: ["u1", "u2", "u3", "u4", "u5"],
  });
  vm.upstreams.answer = (call, engine) => {
    const isBad = new TextDecoder().decode(call.body).includes(BAD);
    return isBad
      ? Promise.reject(
        new UpstreamError(
          { step: "send" },
          { kind: "broken", mayHaveRun: true, message: "reset" },
        ),
      )
      : Promise.resolve(answerStream(call, { engine }));
  };
  return { vm, clock };
}

async function send(
  { vm, clock }: ReturnType<typeof createVm>,
  prompt: string,
): Promise<number> {
  const { sink, done } = vm.send({
    ...buildRequest("POST", "/v1/completions", {
      body: { model: "m1", stream: true, prompt },
      headers: { authorization: "Bearer key-1" },
    }),
    arrivedAt: clock.now(),
  });
  // Answers are real streams, which end without the clock.
  let isOver = false;
  const ended = done.then(() => isOver = true);
  while (!isOver) {
    for (let turn = 0; turn < TURNS; turn++) await setImmediate();
    await clock.run(isOver ? 0 : STEP_MS);
  }
  await ended;
  await clock.run(GAP_MS);
  return sink.status;
}

// Guards against a beginning of prompts that crashes engine after engine in ever
// new requests, and against holding what only begins alike.
it("prompts that begin with what crashes engines are held, others served", async () => {
  const world = createVm();
  for (let index = 0; index < REQUESTS; index++) {
    await send(world, `${SHARED}${BAD}${index} ${"x".repeat(BLOCK)}`);
    expect(await send(world, `${SHARED}sound ${index}`)).toBe(200);
  }
  const reached = world.vm.upstreams.calls.filter(({ body }) =>
    new TextDecoder().decode(body).includes(BAD)
  );
  expect(reached.length).toBeGreaterThan(2);
  expect(reached.length).toBeLessThanOrEqual(MAX_REACHED);
});
