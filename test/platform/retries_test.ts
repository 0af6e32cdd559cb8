import { describe, expect, it } from "vitest";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";

/** Number of requests that the fleet's replicas have run. */
function countRuns(fleet: PlatformFleet): number {
  return fleet.replicas.flatMap(({ ran }) => ran).length;
}

describe("a request that may run more than once", () => {
  it("is retried at another replica after a failure", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas[0]!.mode = "fail";
    for (let index = 0; index < 6; index++) {
      const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
      expect(answer.status).toBe(200);
    }
  });

  it("is sent to at most the route's max-attempts", async () => {
    const fleet = await PlatformFleet.create({ replicas: 4 });
    fleet.replicas.forEach((replica) => replica.mode = "reset");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    expect(answer.status).toBe(502);
    expect(countRuns(fleet)).toBe(2);
  });

  it("gets the last replica's failure unchanged", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "fail");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    expect(answer.status).toBe(500);
    expect(answer.headers["x-response-seal"]).toBe("seal");
  });

  // Guards against retries that overload the remaining replicas: while every
  // replica fails every call, retries must be limited by the number of calls,
  // not grow with the failures.
  it("is retried within the fleet's retry budget", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "reset");
    const calls = 60;
    for (let index = 0; index < calls; index++) {
      await sendRequest(fleet.vms[0]!, { path: "/safe/x" });
    }
    // Each VM gets a share of the reserve of 40, at most a quarter.
    expect(countRuns(fleet) - calls).toBeLessThanOrEqual(10 + 0.2 * calls);
  });
});

// Guards against aborting streams that their replicas would complete. Failures
// have spent the retry budget; then a replica prefills a long prompt and is
// silent for more than a second. The attempt must not be abandoned for a retry
// that the budget does not allow.
it("a silent stream continues if no retry is left", async () => {
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

describe("a request that may run at most once", () => {
  // Guards against a caller that repeats work which has run, because it takes the
  // replica's forwarded 503 for a promise that it has not.
  it("is reported as failed if its replica ran it and answered 503", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "fail_busy");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(countRuns(fleet)).toBe(1);
    expect(answer.status).toBe(502);
  });

  for (const mode of ["reset", "hang", "fail"] as const) {
    it(`is not retried if its replica fails by: ${mode}`, async () => {
      const fleet = await PlatformFleet.create();
      fleet.replicas.forEach((replica) => replica.mode = mode);
      const answer = await sendRequest(fleet.vms[0]!, {
        path: "/unsafe/x",
        timeoutMs: 500,
      });
      expect(countRuns(fleet)).toBe(1);
      // 429 and 503 would promise that the request has not run.
      expect([500, 502, 504]).toContain(answer.status);
    });
  }

  it("is reported as not run if its replica states so", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "shed");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    expect(countRuns(fleet)).toBe(0);
  });

  it("is reported as not run if no replica is reachable", async () => {
    const fleet = await PlatformFleet.create();
    await Promise.all(fleet.replicas.map((replica) => replica.stop()));
    const answer = await sendRequest(fleet.vms[0]!, { path: "/unsafe/x" });
    expect(answer.status).toBe(503);
  });
});

describe("a stream", () => {
  const ids = (body: string) =>
    [...body.matchAll(/id: (\d+)/g)].map((m) => m[1]);

  // Guards against missing or duplicate events. A replica fails in the middle of
  // an event and another one resumes: the partial event must not be forwarded to
  // the caller, and the id of the last complete event must be sent.
  it("is resumed at another replica after its last complete event", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "break");
    const broken = sendRequest(fleet.vms[0]!, { path: "/restream/x" });
    const answer = await broken;
    expect(ids(answer.body)).toEqual(["1", "2", "3", "4"]);
    // Both replicas failed, and the route allows two attempts.
    expect(answer.isWhole).toBe(false);
    const [first, second] = fleet.replicas;
    expect(first!.ran.length + second!.ran.length).toBe(2);
    const resumed = [first!, second!].flatMap(({ ran }) => ran)
      .find((each) => each.headers["last-event-id"] !== undefined);
    expect(resumed!.headers["last-event-id"]).toBe("2");
  });

  it("is complete after a failure of one replica", async () => {
    const fleet = await PlatformFleet.create({ replicas: 3 });
    fleet.replicas[0]!.mode = "break";
    for (let index = 0; index < 6; index++) {
      const answer = await sendRequest(fleet.vms[0]!, { path: "/restream/x" });
      expect(answer.isWhole).toBe(true);
      expect(ids(answer.body)).toEqual(["1", "2", "3", "4", "5", "6"]);
    }
  });

  it("that may not be resumed is aborted visibly to the caller", async () => {
    const fleet = await PlatformFleet.create();
    fleet.replicas.forEach((replica) => replica.mode = "break");
    const answer = await sendRequest(fleet.vms[0]!, { path: "/stream/x" });
    expect(answer.status).toBe(200);
    expect(answer.isWhole).toBe(false);
    expect(countRuns(fleet)).toBe(1);
  });
});
