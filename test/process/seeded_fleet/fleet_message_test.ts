import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import {
  decodeMessage,
  encodeMessage,
  type FleetHeartbeat,
} from "../../../src/process/seeded_fleet/fleet_message.ts";

const REPLICA = toId<VmId>("i-1");

function buildHeartbeat(): FleetHeartbeat {
  return {
    kind: "heartbeat",
    vm: toId("vm-1"),
    incarnation: toId("life"),
    sequence: 1,
    dataCentre: toId("dc"),
    callers: "10.0.0.1:80",
    state: "10.0.0.1:81",
    isServing: true,
    isDraining: false,
    isPrimed: true,
    configVersion: 1,
    listRevision: 1,
    isStoreLost: false,
    listAgeMs: 0,
    nextMs: 150,
    heard: 1,
    cores: 1,
    work: {
      loads: [[REPLICA, 1, 1, 0, 0]],
      results: [],
      speeds: [],
      placements: [],
      reads: [],
      lastAsk: 3,
      openAsks: [2],
      limits: [[REPLICA, 3.5, 12, 4]],
      leaving: [[REPLICA, 8]],
      unreached: [[REPLICA, 2]],
      rejections: [[REPLICA, 5, 8]],
    },
    sentAt: 1_234,
    confirmed: [toId("life"), 1_200],
  };
}

it("decodes a heartbeat to what was encoded", () => {
  const heartbeat = buildHeartbeat();
  expect(decodeMessage(encodeMessage(heartbeat))).toEqual(heartbeat);
});

// Guards against VMs of different versions that reject each other's heartbeats
// during a rolling upgrade.
it("accepts a heartbeat that lacks newer fields or has unknown ones", () => {
  const heartbeat = buildHeartbeat();
  const values: unknown[] = JSON.parse(encodeMessage(heartbeat).toString());
  const workIndex = values.findIndex((value) => Array.isArray(value));
  const work = values[workIndex] as unknown[];
  const decode = (changed: unknown[]) =>
    decodeMessage(Buffer.from(JSON.stringify(changed)));
  const { sentAt: _sentAt, confirmed: _confirmed, ...older } = heartbeat;
  expect(decode([...values.slice(0, workIndex), work.slice(0, -4)])).toEqual({
    ...older,
    work: {
      ...heartbeat.work,
      limits: [],
      leaving: [],
      unreached: [],
      rejections: [],
    },
  });
  expect(decode(values.with(workIndex, [...work, "later"]))).toEqual(heartbeat);
  expect(decode([...values, "later"])).toEqual(heartbeat);
});

// Guards against VMs of two versions that reject each other's answers about
// streams during a rolling upgrade.
it("reads an answer of older software about a stream's versions", () => {
  const older = ["origin_answer", 7, "vm-1", null, null, "v1", true];
  expect(decodeMessage(Buffer.from(JSON.stringify(older)))).toEqual({
    kind: "origin_answer",
    ask: 7,
    vm: "vm-1",
    onlyVersion: "v1",
    hasSeveral: true,
  });
});
