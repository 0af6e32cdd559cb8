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
  it("names its VM for any characters in the VM's name", () => {
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

  it("is rejected in any other format", () => {
    const texts = ["", "r~", "r~a~b~c~d", "x~a~b~1~1~c", "r~a~b~!~1~c"];
    for (const text of [...texts, `r~${"a".repeat(400)}~b~1~1~c`]) {
      expect(parseRequestId(text)).toBeUndefined();
    }
  });
});

describe("a claim at the issuer", () => {
  it("is granted again for the same nonce, and taken for another", () => {
    const { claims } = createIssuer();
    const requestId = claims.issueId();
    const call = { from: FROM, requestId, nonce: "n1" };
    const first = claims.handleClaim(call);
    expect(first).toEqual({ kind: "granted", ttlMs: CLAIM_TTL_MS });
    expect(claims.handleClaim(call)).toEqual(first);
    expect(claims.handleClaim({ ...call, nonce: "n2" })).toEqual({
      kind: "taken",
      runner: "vm-b",
      outcome: "running",
    });
  });

  it("is granted to another nonce only after not_run", () => {
    for (const outcome of ["not_run", "ran", "unknown", "answered"] as const) {
      const { claims } = createIssuer();
      const requestId = claims.issueId();
      claims.handleClaim({ from: FROM, requestId, nonce: "n1" });
      claims.handleSettlement({ from: FROM, requestId, nonce: "n1", outcome });
      const next = claims.handleClaim({ from: FROM, requestId, nonce: "n2" });
      if (outcome === "not_run") expect(next.kind).toBe("granted");
      else expect(next).toMatchObject({ kind: "taken", outcome });
    }
  });

  // Guards against a second execution while the first one is running: a
  // settlement of an earlier claim arrives late or twice and is applied to the
  // current claim.
  it("is released only by its own settlement", () => {
    const { claims } = createIssuer();
    const requestId = claims.issueId();
    const call = { from: FROM, requestId, nonce: "n1" };
    const end = { ...call, outcome: "not_run" as const };
    claims.handleClaim(call);
    claims.handleSettlement(end);
    claims.handleClaim({ ...call, nonce: "n2" });
    claims.handleSettlement(end);
    expect(claims.handleClaim({ ...call, nonce: "n3" }).kind).toBe("taken");
    claims.handleSettlement({ ...end, nonce: "n2", outcome: "answered" });
    claims.handleSettlement({ ...end, nonce: "n2" });
    expect(claims.handleClaim({ ...call, nonce: "n4" }))
      .toMatchObject({ kind: "taken", outcome: "answered" });
  });

  // Guards against an id that stays claimed although nothing is executed: the
  // settlement of an abandoned claim arrives before the claim, which is then
  // granted to a VM that no longer waits for it.
  it("is refused if its own settlement arrived before it", () => {
    const { claims } = createIssuer();
    const requestId = claims.issueId();
    const call = { from: FROM, requestId, nonce: "n1" };
    claims.handleSettlement({ ...call, outcome: "not_run" });
    expect(claims.handleClaim(call))
      .toMatchObject({ kind: "taken", outcome: "not_run" });
    expect(claims.handleClaim({ ...call, nonce: "n2" }).kind).toBe("granted");
  });

  it("returns unknown_id for expired, forged and other VMs' ids", async () => {
    const { clock, claims } = createIssuer();
    const other = createIssuer();
    const requestId = claims.issueId();
    const sendClaim = (id: string) =>
      claims.handleClaim({
        from: FROM,
        requestId: toId<RequestId>(id),
        nonce: "n",
      }).kind;
    expect(sendClaim(`${requestId.slice(0, -1)}_`)).toBe("unknown_id");
    expect(sendClaim(requestId.replace("vm-a", "vm-z"))).toBe("unknown_id");
    expect(sendClaim("nonsense")).toBe("unknown_id");
    await clock.run(ID_TTL_MS);
    expect(sendClaim(requestId)).toBe("unknown_id");
    expect(other.claims.handleClaim({ from: FROM, requestId, nonce: "n" }).kind)
      .toBe("granted");
  });

  // Guards against a duplicate execution under overload: so many ids are
  // claimed that the oldest are evicted, and an evicted id is submitted again.
  // "Not stored" must not count as "never claimed".
  it("is never granted for an evicted id", () => {
    const { claims } = createIssuer(4);
    const ids = Array.from({ length: 12 }, () => claims.issueId());
    const claim = (requestId: RequestId, nonce: string) =>
      claims.handleClaim({ from: FROM, requestId, nonce }).kind;
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

  // Guards against work sent under an expired claim: the answer waits in a
  // buffer while the claimer is paused, and the TTL starts when the answer is
  // read.
  it("starts the TTL before it sends the claim", async () => {
    const { clock, claimer, requestId } = createPair(async () => {
      await clock.sleep(1_000);
      return { kind: "granted", ttlMs: 1_500 };
    });
    const pending = claimer.claimExecution(requestId);
    await clock.run(1_000);
    const claim = await pending;
    if (claim.kind !== "granted") throw new Error("Not granted");
    expect(claim.isValid()).toBe(true);
    await clock.run(500);
    expect(claim.isValid()).toBe(false);
  });

  it("retries with the same nonce, then releases the claim", async () => {
    const nonces: string[] = [];
    const { clock, claimer, requestId, settled } = createPair((call) => {
      nonces.push(call.nonce);
      return Promise.reject(new Error("Lost"));
    });
    const pending = claimer.claimExecution(requestId);
    await clock.run(1_000);
    expect(await pending).toMatchObject({
      kind: "unreachable",
      issuer: "vm-a",
      why: "Lost",
    });
    expect(nonces.length).toBeGreaterThan(1);
    expect(new Set(nonces).size).toBe(1);
    expect(settled).toEqual(["not_run"]);
    expect(claimer.unsettledCount).toBe(0);
  });

  it("settles a claim once", async () => {
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
