import { describe, expect, it, onTestFinished } from "vitest";
import type { ClientTls, ServerTls } from "../../src/connection/index.ts";
import { PeerListener, TrpcPeerDirectory } from "../../src/connection/index.ts";
import { StepError } from "../../src/errors.ts";
import type { Incarnation, RequestId, ShardId, VmId } from "../../src/ids.ts";
import { toId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import type * as Peer from "../../src/process/peer_api.ts";
import { PeerApi } from "../../src/process/peer_api.ts";
import type { SuspectEntry } from "../../src/process/quarantine/index.ts";
import { CountingClock } from "../support/counting_clock.ts";
import { findClosedPort, LOOPBACK, waitUntil } from "../support/loopback.ts";
import { Relay } from "../support/relay.ts";
import { readTls } from "../support/tls_pairs.ts";

const SECRET = "fleet-secret";
const VM = toId<VmId>("vm-2");
const FROM: Peer.PeerIdentity = {
  vm: toId<VmId>("vm-1"),
  incarnation: toId<Incarnation>("i-1"),
};
const CLAIM: Peer.ClaimCall = {
  from: FROM,
  requestId: toId<RequestId>("r-1"),
  nonce: "n-1",
};
const PROBE: Peer.ProbeCall = {
  from: FROM,
  counter: 1,
  draining: false,
  members: [],
  summaries: [],
  configVersion: 0,
  listRevision: 0,
};
const SYNC: Peer.SyncCall = {
  from: FROM,
  shard: toId<ShardId>("pool/0"),
  news: [],
  withdrawn: [],
};
const ACQUIRE: Peer.AcquireCall = {
  from: FROM,
  shard: toId<ShardId>("pool/0"),
  ticket: toId("t-1"),
  requestId: toId("r-1"),
  workspace: toId("w"),
  className: toId("c"),
  model: undefined,
  adapter: undefined,
  ageMs: 0.5,
  deadlineInMs: -1,
  promptTokens: 10,
  maxTokens: 100,
  doneTokens: 0,
  idempotent: true,
  prefixes: ["p"],
  avoid: [],
  holdMs: 200,
};

/** Records each call by its method's name and returns a fixed answer. */
class FakeApi extends PeerApi {
  readonly calls: [string, ...unknown[]][] = [];
  answer: unknown = { kind: "unknown_id" };
  hold: Promise<void> | undefined;

  override acquire(call: Peer.AcquireCall) {
    return this.#note<Peer.AcquireAnswer>("acquire", call);
  }
  override syncLeases(call: Peer.SyncCall) {
    return this.#note<Peer.SyncAnswer>("syncLeases", call);
  }
  override probe(call: Peer.ProbeCall) {
    return this.#note<Peer.ProbeAnswer>("probe", call);
  }
  override probeVia(target: VmId, call: Peer.ProbeCall) {
    return this.#note<boolean>("probeVia", target, call);
  }
  override fetchSnapshot(call: Peer.SnapshotCall) {
    return this.#note<Peer.SnapshotAnswer>("fetchSnapshot", call);
  }
  override leaseLimit(call: Peer.LimitCall) {
    return this.#note<Peer.LimitAnswer>("leaseLimit", call);
  }
  override claimRun(call: Peer.ClaimCall) {
    return this.#note<Peer.ClaimAnswer>("claimRun", call);
  }
  override settleRun(call: Peer.SettleCall) {
    return this.#note<void>("settleRun", call);
  }
  override findFate(call: Peer.RequestStatusCall) {
    return this.#note<Peer.RequestStatusAnswer>("findFate", call);
  }
  override handOver(call: Peer.HandOverCall) {
    return this.#note<boolean>("handOver", call);
  }
  override collectStats() {
    return this.#note<Peer.StatsAnswer>("collectStats");
  }
  override noteSuspects(call: Peer.SuspectsCall) {
    return this.#note<SuspectEntry[]>("noteSuspects", call);
  }
  override checkReach(upstream: VmId) {
    return this.#note<boolean>("checkReach", upstream);
  }

  async #note<T>(name: string, ...values: unknown[]): Promise<T> {
    this.calls.push([name, ...values]);
    await this.hold;
    if (this.answer instanceof Error) throw this.answer;
    return this.answer as T;
  }
}

async function startPeer(
  options: { tls?: ServerTls } = {},
): Promise<{ api: FakeApi; listener: PeerListener }> {
  const api = new FakeApi();
  const listener = PeerListener.create({
    secret: SECRET,
    api,
    log: SilentLog.create(),
    ...options,
  });
  await listener.start(LOOPBACK, 0);
  onTestFinished(async () => {
    const stopped = listener.stop();
    listener.closeAll();
    await stopped;
  });
  return { api, listener };
}

function createPeer(
  port: number,
  options: { clock?: Clock; secret?: string; tls?: ClientTls } = {},
): PeerApi {
  const directory = TrpcPeerDirectory.create({
    clock: options.clock ?? SystemClock.create(),
    secret: options.secret ?? SECRET,
    from: FROM.vm,
    findAddress: (vm) => vm === VM ? { address: LOOPBACK, port } : undefined,
    tls: options.tls,
  });
  onTestFinished(() => directory.close());
  return directory.getPeer(VM);
}

describe("peers over tRPC", () => {
  it("forwards every call and its answer", async () => {
    const { api, listener } = await startPeer();
    const peer = createPeer(listener.port);
    const update: Peer.LeaseUpdate = {
      lease: toId("l-1"),
      ticket: toId("t-1"),
      upstream: toId("up-1"),
      className: toId("c"),
      workspace: toId("w"),
      idempotent: true,
      state: "running",
      promptTokens: 1,
      tokens: 2,
      firstTokenMs: undefined,
      betweenTokensMs: 1.5,
    };
    const sync = { ...SYNC, news: [update] };
    const snapshot = { from: FROM, after: -1, listAfter: 0 };
    const limit = { from: FROM, workspace: toId("w"), requests: 1, tokens: 2 };
    const settle = { ...CLAIM, outcome: "ran" } as const;
    const statusCall = { requestId: CLAIM.requestId, withAnswer: true };
    const handOver = {
      from: FROM,
      shard: ACQUIRE.shard,
      waiters: [ACQUIRE],
      leases: [update],
    };
    const entry: SuspectEntry = [toId("f-1"), [[toId("up-1@1"), 3, true]], -1];
    const suspects = { from: FROM, entries: [entry] };
    const runs: [string, unknown[], () => Promise<unknown>][] = [
      ["acquire", [ACQUIRE], () => peer.acquire(ACQUIRE)],
      ["syncLeases", [sync], () => peer.syncLeases(sync)],
      ["probe", [PROBE], () => peer.probe(PROBE)],
      ["probeVia", [VM, PROBE], () => peer.probeVia(VM, PROBE)],
      ["fetchSnapshot", [snapshot], () => peer.fetchSnapshot(snapshot)],
      ["leaseLimit", [limit], () => {
        return peer.leaseLimit(limit as Peer.LimitCall);
      }],
      ["claimRun", [CLAIM], () => peer.claimRun(CLAIM)],
      ["settleRun", [settle], () => peer.settleRun(settle)],
      ["findFate", [statusCall], () => peer.findFate(statusCall)],
      ["handOver", [handOver], () => peer.handOver(handOver)],
      ["collectStats", [], () => peer.collectStats()],
      ["noteSuspects", [suspects], () => peer.noteSuspects(suspects)],
      ["checkReach", [VM], () => peer.checkReach(VM)],
    ];
    const methods = Object.getOwnPropertyNames(FakeApi.prototype)
      .filter((name) => name !== "constructor");
    expect(runs.map(([name]) => name).sort()).toEqual(methods.sort());
    for (const [name, values, run] of runs) {
      api.answer = { name };
      expect(await run()).toEqual({ name });
      expect(api.calls.at(-1)).toEqual([name, ...values]);
    }
  });

  it("forwards booleans and undefined", async () => {
    const { api, listener } = await startPeer();
    const peer = createPeer(listener.port);
    api.answer = false;
    expect(await peer.probeVia(VM, PROBE)).toBe(false);
    api.answer = undefined;
    await expect(peer.settleRun({ ...CLAIM, outcome: "ran" })).resolves
      .toBeUndefined();
  });

  it("refuses a wrong secret without running the call", async () => {
    const { api, listener } = await startPeer();
    const peer = createPeer(listener.port, { secret: "guess" });
    const error = await peer.claimRun(CLAIM).catch((thrown) => thrown);
    expect(error).toBeInstanceOf(StepError);
    expect(error.message).toContain("refused the credential");
    expect(api.calls).toEqual([]);
  });

  it.each([
    ["an age that is no number", { ...ACQUIRE, ageMs: Number.NaN }],
    ["no sender", { ...ACQUIRE, from: undefined }],
    ["an empty ticket", { ...ACQUIRE, ticket: "" }],
  ])("refuses a call with %s", async (_, call) => {
    const { api, listener } = await startPeer();
    const peer = createPeer(listener.port);
    await expect(peer.acquire(call as Peer.AcquireCall)).rejects.toMatchObject({
      step: "acquire",
      peer: VM,
    });
    expect(api.calls).toEqual([]);
  });

  it("reports an error of the other VM and continues to work", async () => {
    const { api, listener } = await startPeer();
    const peer = createPeer(listener.port);
    api.answer = new Error("Broken");
    await expect(peer.claimRun(CLAIM)).rejects.toMatchObject({
      step: "claim_run",
      peer: VM,
    });
    api.answer = { kind: "unknown_id" };
    expect(await peer.claimRun(CLAIM)).toEqual({ kind: "unknown_id" });
  });

  it("rejects calls to a VM that is unlisted or unreachable", async () => {
    const peer = createPeer(await findClosedPort());
    await expect(peer.claimRun(CLAIM)).rejects.toBeInstanceOf(StepError);
    const directory = TrpcPeerDirectory.create({
      clock: SystemClock.create(),
      secret: SECRET,
      from: FROM.vm,
      findAddress: () => undefined,
    });
    await expect(directory.getPeer(VM).claimRun(CLAIM)).rejects
      .toBeInstanceOf(StepError);
  });

  it("opens a new connection after one went silent", async () => {
    // Guards against failing every call to a healthy peer. A middlebox drops
    // the state of open connections: bytes are lost without an error, and idle
    // connections still look usable, while new ones would work.
    const { api, listener } = await startPeer();
    const relay = await Relay.create(listener.port);
    onTestFinished(() => relay.close());
    const clock = CountingClock.create();
    const peer = createPeer(relay.port, { clock });
    await Promise.all([peer.claimRun(CLAIM), peer.claimRun(CLAIM)]);
    expect(relay.accepted).toBe(2);
    relay.setModeOfOpen("swallow");
    const failed = expect(peer.claimRun(CLAIM)).rejects.toMatchObject({
      step: "claim_run",
      peer: VM,
    });
    await waitUntil(() => clock.pending === 1);
    await clock.run(1_000);
    await failed;
    expect(await peer.claimRun(CLAIM)).toEqual({ kind: "unknown_id" });
    expect(relay.accepted).toBe(3);
    expect(api.calls).toHaveLength(3);
    expect(clock.pending).toBe(0);
  });

  it("does not time out a call while the owner may hold it", async () => {
    const { api, listener } = await startPeer();
    let release = () => {};
    api.hold = new Promise((resolve) => release = resolve);
    const clock = CountingClock.create();
    const peer = createPeer(listener.port, { clock });
    const granted = peer.acquire(ACQUIRE);
    await waitUntil(() => api.calls.length === 1);
    await clock.run(ACQUIRE.holdMs + 499);
    release();
    expect(await granted).toEqual({ kind: "unknown_id" });
  });

  it("connects over TLS only to a trusted certificate", async () => {
    const { listener } = await startPeer({ tls: readTls("a") });
    const peer = createPeer(listener.port, { tls: { ca: readTls("a").cert } });
    expect(await peer.claimRun(CLAIM)).toEqual({ kind: "unknown_id" });
    const other = createPeer(listener.port, { tls: { ca: readTls("b").cert } });
    await expect(other.claimRun(CLAIM)).rejects.toBeInstanceOf(StepError);
  });
});
