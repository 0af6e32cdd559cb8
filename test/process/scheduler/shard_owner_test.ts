import { describe, expect, test } from "vitest";
import { buildCall, buildClass, createOwnerBench } from "./fixtures.ts";

describe("ShardOwner", () => {
  test("grants a free slot at once and the next when it is returned", async () => {
    const bench = await createOwnerBench({ classes: [buildClass("chat")] });
    const first = bench.ask(buildCall("chat"));
    const second = bench.ask(buildCall("chat"));
    await bench.clock.run(1);
    expect(bench.granted).toEqual([first.ticket]);
    bench.release(first);
    await bench.clock.run(1);
    expect(bench.granted).toEqual([first.ticket, second.ticket]);
  });

  test("grants by tier, whatever came first", async () => {
    const bench = await createOwnerBench({
      classes: [
        buildClass("low", { tier: "bronze" as never }),
        buildClass("high"),
      ],
    });
    const running = bench.ask(buildCall("low"));
    await bench.clock.run(1);
    const low = bench.ask(buildCall("low"));
    const high = bench.ask(buildCall("high"));
    await bench.clock.run(1);
    bench.release(running);
    await bench.clock.run(1);
    bench.release(high);
    await bench.clock.run(1);
    expect(bench.granted).toEqual([
      running.ticket,
      high.ticket,
      low.ticket,
    ]);
  });
});
