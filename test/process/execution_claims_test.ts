import { describe, expect, it } from "vitest";
import { type RequestId, toId, type VmId } from "../../src/ids.ts";
import type { Incarnation } from "../../src/ids.ts";
import type { PeerApi } from "../../src/process/peer_api.ts";
import {
  formatRequestId,
  hasValidCode,
  parseRequestId,
} from "../../src/process/request_ids.ts";
import {
  CLAIM_TTL_MS,
  ID_TTL_MS,
  ProcessExecutionClaims,
} from "../../src/process/execution_claims.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { buildEnvironment, FakePeers } from "../support/request_fakes.ts";

const FROM = { vm: toId<VmId>("vm-b"), incarnation: toId<Incarnation>("i1") };

function createIssuer(maxClaims?: number) {
  const clock = VirtualClock.create();
  const environment = buildEnvironment(clock);
  const options = maxClaims === undefined ? {} : { maxClaims };
  return { clock, claims: ProcessExecutionClaims.create(environment, options) };
}

describe("a request id", () => {
  it("names its VM whatever the VM's name holds", () => {
    for (const vm of ["vm-a-1", "10.0.0.1", "a~b", "r~x~~"]) {
      const parts = {
        vm: toId<VmId>(vm),
        incarnation: toId<Incarnation>("9f-3"),
        isSingle: vm === "a~b",
        sequence: 46_655,
        issuedAt: 12_345,
      };
      const id = formatRequestId(parts, "secret");
      expect(parseRequestId(id)).toMatchObject(parts);
      expect(hasValidCode(parseRequestId(id)!, "secret")).toBe(true);
      expect(hasValidCode(parseRequestId(id)!, "other")).toBe(false);
    }
  });

  it("is refused in any other shape", () => {
    const texts = ["", "r~", "r~a~b~c~d", "x~a~b~1~1~c", "r~a~b~!~1~c"];
    for (const text of [...texts, `r~${"a".repeat(400)}~b~1~1~c`]) {
      expect(parseRequestId(text)).toBeUndefined();
    }
  });
});

describe("the issuer's answer to a claim", () => {
  it("is the same for a repeat, and taken for another", () => {
    const { claims } = createIssuer();
    const requestId = claims.issueId();
    const call = { from: FROM, requestId, nonce: "n1" };
    const first = claims.answerClaim(call);
    expect(first).toEqual({ kind: "granted", ttlMs: CLAIM_TTL_MS });
    expect(claims.answerClaim(call)).toEqual(first);
    expect(claims.answerClaim({ ...call, nonce: "n2" })).toEqual({
      kind: "taken",
      runner: "vm-b",
      outcome: "running",
    });
  });

  it("is granted again only after not_run", () => {
    for (const outcome of ["not_run", "ran", "unknown", "answered"] as const) {
      const { claims } = createIssuer();
      const requestId = claims.issueId();
      claims.answerClaim({ from: FROM, requestId, nonce: "n1" });
      claims.answerSettle({ from: FROM, requestId, nonce: "n1", outcome });
      const next = claims.answerClaim({ from: FROM, requestId, nonce: "n2" });
      if (outcome === "not_run") expect(next.kind).toBe("granted");
      else expect(next).toMatchObject({ kind: "taken", outcome });
    }
  });

  // Symptom: a run granted while the first one goes on.
  // Sequence: a settlement of an ended claim arrives late or twice.
  // Cause: a settlement taken for the claim that stands now.
  it("heeds the settlement of the standing claim alone", () => {
    const { claims } = createIssuer();
    const requestId = claims.issueId();
    const call = { from: FROM, requestId, nonce: "n1" };
    const end = { ...call, outcome: "not_run" as const };
    claims.answerClaim(call);
    claims.answerSettle(end);
    claims.answerClaim({ ...call, nonce: "n2" });
    claims.answerSettle(end);
    expect(claims.answerClaim({ ...call, nonce: "n3" }).kind).toBe("taken");
    claims.answerSettle({ ...end, nonce: "n2", outcome: "answered" });
    claims.answerSettle({ ...end, nonce: "n2" });
    expect(claims.answerClaim({ ...call, nonce: "n4" }))
      .toMatchObject({ kind: "taken", outcome: "answered" });
  });

  // Symptom: an id that stays taken though nothing runs.
  // Sequence: the settlement of a claim given up overtakes the claim.
  // Cause: the late claim granted to a VM that no longer waits for it.
  it("refuses a claim that its own settlement overtook", () => {
    const { claims } = createIssuer();
    const requestId = claims.issueId();
    const call = { from: FROM, requestId, nonce: "n1" };
    claims.answerSettle({ ...call, outcome: "not_run" });
    expect(claims.answerClaim(call))
      .toMatchObject({ kind: "taken", outcome: "not_run" });
    expect(claims.answerClaim({ ...call, nonce: "n2" }).kind).toBe("granted");
  });

  it("is unknown for expired, forged and other VMs' ids", async () => {
    const { clock, claims } = createIssuer();
    const other = createIssuer();
    const requestId = claims.issueId();
    const ask = (id: string) =>
      claims.answerClaim({
        from: FROM,
        requestId: toId<RequestId>(id),
        nonce: "n",
      }).kind;
    expect(ask(`${requestId.slice(0, -1)}_`)).toBe("unknown_id");
    expect(ask(requestId.replace("vm-a", "vm-z"))).toBe("unknown_id");
    expect(ask("nonsense")).toBe("unknown_id");
    await clock.run(ID_TTL_MS);
    expect(ask(requestId)).toBe("unknown_id");
    expect(other.claims.answerClaim({ from: FROM, requestId, nonce: "n" }).kind)
      .toBe("granted");
  });

  // Symptom: a doubled run under a flood of requests.
  // Sequence: so many ids are claimed that the oldest must be forgotten, then
  // a forgotten one is submitted again.
  // Cause: "not remembered" taken for "never claimed".
  it("never grants an id that it had to forget", () => {
    const { claims } = createIssuer(4);
    const ids = Array.from({ length: 12 }, () => claims.issueId());
    const claim = (requestId: RequestId, nonce: string) =>
      claims.answerClaim({ from: FROM, requestId, nonce }).kind;
    const granted = ids.filter((id) => claim(id, "n1") === "granted");
    expect(granted).toEqual(ids);
    expect(ids.filter((id) => claim(id, "n2") === "granted")).toEqual([]);
    expect(claim(ids[0]!, "n3")).toBe("unknown_id");
  });
});

describe("the claimer", () => {
  function createPair(claimRun: PeerApi["claimRun"]) {
    const clock = VirtualClock.create();
    const issuer = ProcessExecutionClaims.create(buildEnvironment(clock));
    const peers = new FakePeers();
    const settled: string[] = [];
    peers.peers.set("vm-a", {
      claimRun,
      settleRun: (call) => {
        settled.push(call.outcome);
        return Promise.resolve();
      },
    } as PeerApi);
    const environment = buildEnvironment(clock, { vm: "vm-b", seed: 2, peers });
    const claimer = ProcessExecutionClaims.create(environment);
    return { clock, claimer, settled, requestId: issuer.issueId() };
  }

  // Symptom: work sent under a claim that has lapsed.
  // Sequence: the answer lies in a buffer while the claimer is paused.
  // Cause: the time to live counted from when the answer was read.
  it("counts the time to live from before it asked", async () => {
    const { clock, claimer, requestId } = createPair(async () => {
      await clock.sleep(1_000);
      return { kind: "granted", ttlMs: 1_500 };
    });
    const asked = claimer.claimExecution(requestId);
    await clock.run(1_000);
    const claim = await asked;
    if (claim.kind !== "granted") throw new Error("Not granted");
    expect(claim.isStanding()).toBe(true);
    await clock.run(500);
    expect(claim.isStanding()).toBe(false);
  });

  it("asks again with the same nonce, then gives the id back", async () => {
    const nonces: string[] = [];
    const { clock, claimer, requestId, settled } = createPair((call) => {
      nonces.push(call.nonce);
      return Promise.reject(new Error("Lost"));
    });
    const asked = claimer.claimExecution(requestId);
    await clock.run(1_000);
    expect(await asked).toMatchObject({
      kind: "unreachable",
      issuer: "vm-a",
      why: "Lost",
    });
    expect(nonces.length).toBeGreaterThan(1);
    expect(new Set(nonces).size).toBe(1);
    expect(settled).toEqual(["not_run"]);
    expect(claimer.unsettledCount).toBe(0);
  });

  it("settles until the issuer has heard it", async () => {
    const { clock, claimer, requestId, settled } = createPair(() =>
      Promise.resolve({ kind: "granted", ttlMs: 1_000 })
    );
    await claimer.claimExecution(requestId);
    claimer.settleExecution(requestId, "answered");
    claimer.settleExecution(requestId, "unknown");
    await clock.run(10);
    expect(settled).toEqual(["answered"]);
  });
});
