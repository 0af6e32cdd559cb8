import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import {
  chooseModels,
  planCommands,
} from "../../../src/process/engine_control/index.ts";
import { buildPool, buildReport, MODEL_A, MODEL_B } from "./fixtures.ts";

const VMS = ["u1", "u2", "u3", "u4"].map((id) => toId<VmId>(id));

describe("chooseModels", () => {
  it("assigns each model its replicas and keeps current holders", () => {
    const reports = new Map([[VMS[3]!, buildReport([MODEL_B])]]);
    const desired = chooseModels({
      pool: buildPool([MODEL_A, MODEL_B]),
      shardIndex: 0,
      upstreams: VMS,
      reports,
    });
    const holders = (model: string) =>
      VMS.filter((vm) => desired.get(vm)?.some((one) => one.model === model));
    expect(holders(MODEL_A.model)).toHaveLength(MODEL_A.replicas);
    expect(holders(MODEL_B.model)).toEqual([VMS[3]]);
  });

  it("splits the replicas over the shards without losing any", () => {
    fc.assert(
      fc.property(
        fc.integer({ min: 1, max: 20 }),
        fc.integer({ min: 1, max: 8 }),
        (replicas, shards) => {
          const pool = { ...buildPool([{ ...MODEL_A, replicas }]), shards };
          const many = Array.from(
            { length: 20 },
            (_, index) => toId<VmId>(`many-${index}`),
          );
          let placed = 0;
          for (let shardIndex = 0; shardIndex < shards; shardIndex++) {
            const input = { pool, shardIndex, upstreams: many };
            const desired = chooseModels({ ...input, reports: new Map() });
            placed += [...desired.values()].flat().length;
          }
          expect(placed).toBe(replicas);
        },
      ),
      { seed: 7, numRuns: 100 },
    );
  });
});

describe("planCommands", () => {
  it("plans no command for an upstream whose state is unknown", () => {
    const planned = planCommands({
      pool: buildPool([MODEL_A]),
      shardIndex: 0,
      upstreams: VMS,
      reports: new Map(),
    });
    expect(planned).toEqual([]);
  });

  it("plans nothing once every command has been executed", () => {
    const pool = buildPool([MODEL_A, MODEL_B]);
    const reports = new Map(VMS.map((vm) => [vm, buildReport([MODEL_B])]));
    const input = { pool, shardIndex: 0, upstreams: VMS, reports };
    for (let round = 0; round < 5; round++) {
      for (const { upstream, command } of planCommands(input)) {
        const report = reports.get(upstream)!;
        if (command.action === "unload") {
          report.models = report.models.filter((one) =>
            one.model !== command.model
          );
          continue;
        }
        const held = report.models.find((one) => one.model === command.model);
        const adapters = command.adapter === undefined ? [] : [command.adapter];
        if (held) held.adapters.push(...adapters);
        else {
          const { model, version } = command;
          report.models.push({ model, version, adapters });
        }
      }
    }
    expect(planCommands(input)).toEqual([]);
    const holders = [...reports.values()].filter((report) =>
      report.models.some((held) =>
        held.model === MODEL_A.model && held.adapters.includes("formal")
      )
    );
    expect(holders).toHaveLength(MODEL_A.replicas);
  });

  it("plans a role change until the upstream reports the role", () => {
    const pool = { ...buildPool([MODEL_A]), role: "prefill" };
    const report = buildReport([MODEL_A]);
    const reports = new Map(VMS.map((vm) => [vm, { ...report }]));
    const input = { pool, shardIndex: 0, upstreams: VMS, reports };
    const listRoles = () =>
      planCommands(input).filter(({ command }) => command.action === "role");
    expect(listRoles().map(({ upstream }) => upstream)).toEqual(VMS);
    expect(listRoles()[0]!.command.role).toBe("prefill");
    reports.get(VMS[0]!)!.role = "prefill";
    expect(listRoles()).toHaveLength(VMS.length - 1);
    const open = { ...input, pool: { ...pool, role: undefined } };
    expect(
      planCommands(open).some(({ command }) => command.action === "role"),
    )
      .toBe(false);
  });

  it("unloads nothing while a load is missing", () => {
    const pool = buildPool([MODEL_A]);
    const reports = new Map(VMS.map((vm) => [vm, buildReport([MODEL_B])]));
    const planned = planCommands({
      pool,
      shardIndex: 0,
      upstreams: VMS,
      reports,
    });
    expect(planned.length).toBeGreaterThan(0);
    expect(planned.every(({ command }) => command.action === "load")).toBe(
      true,
    );
  });
});
