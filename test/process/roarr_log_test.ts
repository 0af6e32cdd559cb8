import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import type { LogFields, LogLevel } from "../../src/process/log.ts";
import { parseLogLine } from "../../src/process/log_line.ts";
import { RoarrLog } from "../../src/process/roarr_log.ts";

function createLog(level: LogLevel = "debug"): {
  log: RoarrLog;
  lines: string[];
} {
  const lines: string[] = [];
  const log = RoarrLog.create({
    clock: VirtualClock.create(),
    level,
    writeLine: (line) => lines.push(line),
  });
  return { log, lines };
}

function writeOne(fields: LogFields, event = "request_done"): string {
  const { log, lines } = createLog();
  log.info(event, fields);
  expect(lines).toHaveLength(1);
  return lines[0]!;
}

describe("RoarrLog", () => {
  test("writes time, level and event before the fields", () => {
    expect(writeOne({ request_id: "r-1", ms: 3, ok: true, gone: undefined }))
      .toBe(
        "time=1970-01-01T00:00:00.000Z level=info event=request_done " +
          "request_id=r-1 ms=3 ok=true\n",
      );
  });

  test("discards events below its level", () => {
    const { log, lines } = createLog("warn");
    log.debug("a");
    log.info("b");
    log.warn("c");
    log.error("d");
    expect(lines.map((line) => parseLogLine(line.trimEnd())?.event))
      .toEqual(["c", "d"]);
  });

  test("quotes characters that would break a line or a pair", () => {
    const line = writeOne({ why: 'no "room"\nlevel=error', empty: "" });
    expect(line).toContain('why="no \\"room\\"\\nlevel=error" empty=""\n');
  });

  test("renames fields that have a reserved key", () => {
    const line = writeOne({ level: "error", "a b": "x" });
    expect(line).toContain("level=info ");
    expect(line).toContain("field_level=error a_b=x");
  });

  test("writes a percent sign unchanged", () => {
    expect(writeOne({ share: "50%s" }, "at_%d")).toContain(
      "event=at_%d share=50%s\n",
    );
  });

  test.each([
    "key",
    "api_key",
    "apiKey",
    "operatorToken",
    "peer.secret",
    "Authorization",
    "keyHash",
  ])("redacts the text of a field named %s", (name) => {
    const line = writeOne({ [name]: "hunter2" });
    expect(line).not.toContain("hunter2");
    expect(line).toContain("[redacted]");
  });

  test("redacts a credential inside a text", () => {
    const line = writeOne({ headers: "authorization: Bearer hunter2; a: b" });
    expect(line).not.toContain("hunter2");
  });

  test("writes token counts", () => {
    expect(writeOne({ tokens: 12, first_token_ms: 3 })).toContain(
      "tokens=12 first_token_ms=3",
    );
  });

  test("truncates a long value", () => {
    expect(writeOne({ text: "x".repeat(100_000) }).length).toBeLessThan(3_000);
  });

  test("writes one line for any field value, which parses back", () => {
    const text = fc.string({ unit: "binary", maxLength: 40 });
    fc.assert(
      fc.property(text, text, (value, event) => {
        fc.pre(!/bearer|basic/i.test(value) && event !== "");
        const line = writeOne({ note: value }, event);
        expect(line.slice(0, -1)).not.toMatch(
          // deno-lint-ignore no-control-regex
          /[\u0000-\u001f\u0085\u2028\u2029]/,
        );
        const pairs = parseLogLine(line.slice(0, -1));
        expect(pairs?.note).toBe(value);
        expect(pairs?.event).toBe(event);
      }),
      { seed: 11, numRuns: 1_000 },
    );
  });
});

test("a line in another format is not parsed as an event", () => {
  expect(parseLogLine("Listening on port 80")).toBeUndefined();
  expect(parseLogLine("a=b")).toBeUndefined();
  expect(parseLogLine("")).toBeUndefined();
});
