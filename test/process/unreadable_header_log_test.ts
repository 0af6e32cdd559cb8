import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { UnreadableHeaderLog } from "../../src/process/unreadable_header_log.ts";
import { FakeLog } from "../support/request_fakes.ts";

const REPLICA = toId<VmId>("r-1");

it("logs each new value once, not once per answer", () => {
  const log = new FakeLog();
  const headerLog = UnreadableHeaderLog.create(log);
  for (const value of ["many", "many", "-1", "x".repeat(500)]) {
    headerLog.note(REPLICA, [{ name: "server-limit", value }]);
  }
  expect(log.lines.map(({ level, event }) => `${level} ${event}`))
    .toEqual(Array(3).fill("warn upstream_header_unreadable"));
  expect(log.lines[0]!.fields).toEqual({
    peer: REPLICA,
    header: "server-limit",
    value: "many",
  });
  expect(log.lines[2]!.fields["value"]).toHaveLength(80);
});
