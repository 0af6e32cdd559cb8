import { describe, expect, it } from "vitest";
import { parseMembershipList } from "../../src/version/index.ts";

const ENTRY = {
  id: "e-1",
  role: "entry",
  state: "live",
  data_centre: "dc-1",
  address: "127.0.0.1",
  port: 1,
  peer_port: 2,
};
const UPSTREAM = {
  ...ENTRY,
  id: "u-1",
  role: "upstream",
  state: "leaving",
  address: "::1",
  peer_port: undefined,
  pool: "engines",
};

function parseVms(...vms: unknown[]) {
  return parseMembershipList({ revision: 3, vms });
}

describe("parseMembershipList", () => {
  it("parses entry VMs and upstreams, and ignores unknown fields", () => {
    const list = parseVms({ ...ENTRY, rack: 7 }, UPSTREAM);
    expect(list.revision).toBe(3);
    expect(list.vms).toEqual([
      {
        id: "e-1",
        role: "entry",
        state: "live",
        dataCentre: "dc-1",
        address: "127.0.0.1",
        port: 1,
        peerPort: 2,
        pool: undefined,
      },
      {
        id: "u-1",
        role: "upstream",
        state: "leaving",
        dataCentre: "dc-1",
        address: "::1",
        port: 1,
        peerPort: 0,
        pool: "engines",
      },
    ]);
  });

  it("refuses a duplicate id", () => {
    // Guards against two VMs computing different owners of a shard: the list
    // has an id with two addresses, and each VM's look-up finds a different
    // one.
    expect(() => parseVms(ENTRY, UPSTREAM, { ...UPSTREAM, port: 9 }))
      .toThrow(/\$\.vms\[2\]\.id/);
  });

  it.each([
    ["$.vms[0].address", { ...ENTRY, address: "localhost" }],
    ["$.vms[0].port", { ...ENTRY, port: 0 }],
    ["$.vms[0].port", { ...ENTRY, port: 65_536 }],
    ["$.vms[0].peer_port", { ...ENTRY, peer_port: 0 }],
    ["$.vms[0].pool", { ...UPSTREAM, pool: null }],
    ["$.vms[0].state", { ...ENTRY, state: "dead" }],
    ["$.vms[0].id", { ...ENTRY, id: "a/b" }],
    ["$.vms[0]", null],
  ])("names the path %s", (path, vm) => {
    expect(() => parseVms(vm)).toThrow(`${path}: expected`);
  });

  it.each([null, [], {}, { revision: -1, vms: [] }, { revision: 1, vms: {} }])(
    "refuses %j",
    (value) => {
      expect(() => parseMembershipList(value)).toThrow(/expected/);
    },
  );
});
