import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import {
  computeListDigest,
  listDifferences,
} from "../../../src/process/placement/list_digest.ts";
import type {
  ListedReplica,
  ReplicaList,
} from "../../../src/process/placement/index.ts";
import {
  buildListedReplica,
  buildListedReplicas,
} from "../../support/listed_replicas.ts";

const LIST: ReplicaList = { revision: 7, replicas: buildListedReplicas(3) };

/** The list with one of its replicas changed. */
function withChange(changes: Partial<ListedReplica>): ReplicaList {
  const [first, ...others] = LIST.replicas;
  return { ...LIST, replicas: [{ ...first!, ...changes }, ...others] };
}

it("lists with the same entries have one digest, in any order", () => {
  const reversed = { ...LIST, replicas: LIST.replicas.toReversed() };
  expect(computeListDigest(reversed)).toBe(computeListDigest(LIST));
  expect(listDifferences(LIST, reversed)).toEqual([]);
});

// Guards against two lists that differ in what requests depend on and pass for
// one.
it.each<Partial<ListedReplica>>([
  { state: "draining" },
  { pool: toId("other") },
  { address: "10.0.0.2" },
  { port: 9 },
  { dataCentre: toId("other") },
  { slots: 1 },
  { version: toId("2") },
])("a replica with %o is a difference", (changes) => {
  const changed = withChange(changes);
  expect(computeListDigest(changed)).not.toBe(computeListDigest(LIST));
  expect(listDifferences(LIST, changed)).toEqual(["i-0"]);
});

it("a replica and an evacuation that one list lacks are differences", () => {
  const other: ReplicaList = {
    ...LIST,
    replicas: LIST.replicas.slice(1),
    evacuated: [toId("dc")],
  };
  expect(computeListDigest(other)).not.toBe(computeListDigest(LIST));
  expect(listDifferences(LIST, other)).toEqual(["i-0", "dc"]);
});

// Guards against VMs that take each other's lists for wrong since they have known
// a replica for longer, or retain one that has expired.
it("what a VM knew before is no difference", () => {
  const known = withChange({
    startedAt: 5,
    warmUp: { leftMs: 3, revision: 2 },
  });
  const retained = buildListedReplica(9, { isRetained: true });
  const other = { ...known, replicas: [...known.replicas, retained] };
  expect(computeListDigest(other)).toBe(computeListDigest(LIST));
  expect(listDifferences(LIST, other)).toEqual([]);
});
