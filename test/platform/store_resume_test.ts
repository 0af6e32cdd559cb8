import { expect, it, onTestFinished } from "vitest";
import { HttpUpstreamTransport } from "../../src/connection/http_transport.ts";
import type { VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import type { ReplicaList } from "../../src/process/placement/index.ts";
import { PlatformStore } from "../../platform/store.ts";
import { FakeLog } from "../support/request_fakes.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const WAIT_MS = 20;
const ENTRY = {
  service: "pool",
  address: "127.0.0.1:9",
  zone: "dc-1",
  slots: 4,
  state: "ready",
};

/** Two clients of one store, of which only the first goes on reading. */
async function openStore() {
  const standIn = StoreStandIn.create();
  const port = await standIn.start();
  onTestFinished(() => standIn.stop());
  const log = new FakeLog();
  const createClient = () => {
    const transport = HttpUpstreamTransport.create({
      clock: SystemClock.create(),
      log,
      findAddress: () => ({ address: "127.0.0.1", port }),
      connectTimeoutMs: 1_000,
    });
    onTestFinished(() => transport.close());
    return PlatformStore.create(transport, log);
  };
  standIn.put("servers/i-1", ENTRY);
  const [reader, other] = [createClient(), createClient()];
  await reader.fetchState();
  await other.fetchState();
  standIn.put("servers/i-2", ENTRY);
  standIn.dropHistory();
  const { replicas } = await reader.fetchState();
  standIn.calls.length = 0;
  return { standIn, other, replicas };
}

async function watchIds(store: PlatformStore): Promise<VmId[] | string> {
  const update = await store.watch(WAIT_MS);
  return update.kind === "state"
    ? update.state.replicas.replicas.map(({ id }) => id)
    : update.kind;
}

// Guards against a VM that has to watch and asks for all changes since its own
// last read, which the store may have dropped or which may be too many.
it("a watch goes on from a list that another VM read", async () => {
  const { standIn, other, replicas } = await openStore();
  other.resumeFrom(replicas);
  expect(await watchIds(other)).toEqual(["i-1", "i-2"]);
  standIn.remove("servers/i-1");
  expect(await watchIds(other)).toEqual(["i-2"]);
  expect(standIn.calls).toEqual(["/api/kv-watch", "/api/kv-watch"]);
});

// Guards against a corrected list that the next change undoes, since it is added
// to what this VM had read before.
it("a watch goes on from an older list in the place of what was read", async () => {
  const { standIn, other, replicas } = await openStore();
  standIn.put("servers/i-3", ENTRY);
  await other.fetchState();
  const corrected = {
    ...replicas,
    replicas: replicas.replicas.filter(({ id }) => id !== "i-1"),
  };
  other.resumeFrom(corrected);
  expect(await watchIds(other)).toEqual(["i-1", "i-2", "i-3"]);
  other.replaceBy(corrected);
  expect(await watchIds(other)).toEqual(["i-2", "i-3"]);
});

// Guards against replicas that are kept although the store has removed them.
it("a watch does not go on from a list with retained replicas", async () => {
  const { other, replicas } = await openStore();
  const retained: ReplicaList = {
    ...replicas,
    replicas: replicas.replicas.map((each) => ({ ...each, isRetained: true })),
  };
  other.resumeFrom(retained);
  expect(await watchIds(other)).toBe("history_lost");
});

// Guards against a replica that came and went between two answers and was never
// there for this VM, although streams began at it.
it("a watch tells of replicas that are gone again", async () => {
  const { standIn, other, replicas } = await openStore();
  other.resumeFrom(replicas);
  standIn.put("servers/i-3", ENTRY);
  standIn.remove("servers/i-3");
  const update = await other.watch(WAIT_MS);
  const listed = update.kind === "state" ? update.listed : [];
  expect(listed.map(({ id }) => id)).toEqual(["i-3"]);
  expect(await watchIds(other)).toEqual(["i-1", "i-2"]);
});

it("a read of everything tells of replicas that are gone again", async () => {
  const { standIn, other, replicas } = await openStore();
  other.resumeFrom(replicas);
  standIn.put("servers/i-3", ENTRY);
  standIn.remove("servers/i-3");
  const { listed = [] } = await other.fetchState();
  expect(listed.map(({ id }) => id)).toEqual(["i-3"]);
});

// Guards against a read of everything that passes for complete although the
// changes before it are lost.
it("a read of everything can't tell of changes that the store forgot", async () => {
  const { standIn, other, replicas } = await openStore();
  other.resumeFrom(replicas);
  standIn.put("servers/i-3", ENTRY);
  standIn.remove("servers/i-3");
  standIn.dropHistory();
  expect((await other.fetchState()).listed).toBeUndefined();
});
