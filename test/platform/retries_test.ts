import { describe, expect, it } from "vitest";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";

/** How often the fleet's replicas ran anything. */
function countRuns(fleet: PlatformFleet): number {
  return fleet.replicas.flatMap(({ ran }) => ran).length;
}

describe("what may run more than once", () => {
  it("goes to another replica where the first failed", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas[0]!.mode = "fail";
    for (let index = 0; index < 6; index++) {
      const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
      expect(answer.status).toBe(200);
    }
  });

  it("goes to no more replicas than its route says", async () => {
    const fleet = await PlatformFleet.create({ replicas: 4 });
    fleet.replicas.forEach((replica) => replica.mode = "reset");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    expect(answer.status).toBe(502);
    expect(countRuns(fleet)).toBe(2);
  });

  it("passes the failure of the last replica on as it is", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "fail");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    expect(answer.status).toBe(500);
    expect(answer.headers["x-response-seal"]).toBe("seal");
  });

  // Symptom: replicas that are left break down under repeats.
  // Sequence: every replica fails every call for a while.
  // Cause: repeats grow with failures instead of with calls.
  it("is repeated within the fleet's budget", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "reset");
    const calls = 60;
    for (let index = 0; index < calls; index++) {
      await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    }
    // Each VM has its part of the reserve of 40, of four VMs at least.
    expect(countRuns(fleet) - calls).toBeLessThanOrEqual(10 + 0.2 * calls);
  });
});

// The load: replicas fail part of their calls, and read long prompts.
// Symptom: streams are cut that their replicas would have finished.
// Sequence: failures spend the retry budget; then a replica is silent for more
// than a second before its first event.
// Cause: a try was given up for another one that there could not be.
it("a silent stream goes on where no retry is left", async () => {
  const fleet = await PlatformFleet.create();
  fleet.replicas.forEach((replica) => replica.mode = "reset");
  for (let index = 0; index < 60; index++) {
    await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
  }
  fleet.replicas.forEach((replica) => replica.mode = "slow");
  const before = countRuns(fleet);
  const answer = await sendRequest(fleet.vms[0]!, { path: "/restream/x" });
  expect(answer.status).toBe(200);
  expect(answer.isWhole).toBe(true);
  expect(countRuns(fleet)).toBe(before + 1);
});

describe("what may run once at most", () => {
  // Symptom: a caller sends work again that was done.
  // Cause: the replica's 503 went on to the caller, who took it for a promise.
  it("is told as failed where its replica ran it and said 503", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "fail_busy");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(countRuns(fleet)).toBe(1);
    expect(answer.status).toBe(502);
  });

  for (const mode of ["reset", "hang", "fail"] as const) {
    it(`is not sent again where its replica does: ${mode}`, async () => {
      const fleet = await PlatformFleet.create();
      fleet.replicas.forEach((replica) => replica.mode = mode);
      const answer = await sendRequest(fleet.vms[0]!, {
        path: "/unsafe/x",
        timeoutMs: 500,
      });
      expect(countRuns(fleet)).toBe(1);
      // 429 and 503 would promise that it has not run.
      expect([500, 502, 504]).toContain(answer.status);
    });
  }

  it("is told as not run only where its replica says so", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "shed");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    expect(countRuns(fleet)).toBe(0);
  });

  it("is told as not run where no replica could be reached", async () => {
    const fleet = await PlatformFleet.create();
    await Promise.all(fleet.replicas.map((replica) => replica.stop()));
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(answer.status).toBe(503);
  });
});

describe("a stream", () => {
  const ids = (body: string) =>
    [...body.matchAll(/id: (\d+)/g)].map((m) => m[1]);

  // Symptom: a piece of a stream is missing or comes twice.
  // Sequence: a replica breaks off within an event; another one goes on.
  // Cause: the part of the event was passed on, or the last id was not.
  it("goes on at another replica after its last whole event", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "break");
    const broken = sendRequest(fleet.vms[0]!, { path: "/restream/x" });
    const answer = await broken;
    expect(ids(answer.body)).toEqual(["1", "2", "3", "4"]);
    // Both replicas broke off, and the route allows two.
    expect(answer.isWhole).toBe(false);
    const [first, second] = fleet.replicas;
    expect(first!.ran.length + second!.ran.length).toBe(2);
    const resumed = [first!, second!].flatMap(({ ran }) => ran)
      .find((each) => each.headers["last-event-id"] !== undefined);
    expect(resumed!.headers["last-event-id"]).toBe("2");
  });

  it("is whole after one replica broke off", async () => {
    const fleet = await PlatformFleet.create({ replicas: 3 });
    fleet.replicas[0]!.mode = "break";
    for (let index = 0; index < 6; index++) {
      const answer = await sendRequest(fleet.vms[0]!, { path: "/restream/x" });
      expect(answer.isWhole).toBe(true);
      expect(ids(answer.body)).toEqual(["1", "2", "3", "4", "5", "6"]);
    }
  });

  it("that may not be resumed is cut so that the caller sees it", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "break");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/stream/x" });
    expect(answer.status).toBe(200);
    expect(answer.isWhole).toBe(false);
    expect(countRuns(fleet)).toBe(1);
  });
});
