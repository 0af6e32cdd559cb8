import { Writable } from "node:stream";
import { describe, expect, it } from "vitest";
import { RateLimitedLog } from "../../src/process/rate_limited_log.ts";
import { LineWriter } from "../../src/process/line_writer.ts";
import { Log } from "../../src/process/log.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

class RecordingLog extends Log {
  readonly events: string[] = [];

  write(_level: string, event: string): void {
    this.events.push(event);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

describe("RateLimitedLog", () => {
  // Without a limit, thousands of requests per second with several lines each
  // take so much CPU time that the VM slows down, above all if it refuses many.
  it("drops routine lines first and logs their number", async () => {
    const clock = VirtualClock.create();
    const written = new RecordingLog();
    const log = RateLimitedLog.create(written, clock);
    const fields = { request_id: "a" };
    for (let index = 0; index < 1_000; index++) log.info("step", fields);
    for (let index = 0; index < 50; index++) log.warn("failure");
    expect(written.events.filter((event) => event === "step")).toHaveLength(
      400,
    );
    expect(written.events.filter((event) => event === "failure"))
      .toHaveLength(50);
    await clock.run(1_000);
    log.info("step");
    expect(written.events).toContain("log_lines_left_out");
    expect(log.droppedCount).toBe(600);
  });

  // Guards against a busy VM whose log lacks what it believed when it sent a
  // request, because lines of requests were more than the limit.
  it("keeps lines on the state of the process beside those of requests", () => {
    const clock = VirtualClock.create();
    const written = new RecordingLog();
    const log = RateLimitedLog.create(written, clock);
    for (let index = 0; index < 1_000; index++) {
      log.info("step", { request_id: "a" });
    }
    for (let index = 0; index < 50; index++) log.info("replica_changed");
    expect(written.events.filter((event) => event === "replica_changed"))
      .toHaveLength(50);
    expect(log.droppedCount).toBe(600);
  });
});

describe("LineWriter", () => {
  // If the reader of the log stops reading, a process that writes or buffers
  // lines without a limit blocks or runs out of memory.
  it("buffers a bounded number of lines while the stream is blocked", async () => {
    const taken: string[] = [];
    let go: (() => void) | undefined;
    const stream = new Writable({
      highWaterMark: 16,
      write(chunk, _encoding, done) {
        taken.push(String(chunk));
        go = done;
      },
    });
    const writer = LineWriter.create(stream);
    writer.write("first\n");
    await sleep(40);
    for (let index = 0; index < 10_000; index++) {
      writer.write(`${"x".repeat(99)}\n`);
    }
    await sleep(40);
    expect(taken.join("")).toBe("first\n");
    go!();
    await sleep(40);
    expect(taken.join("").length).toBeLessThan(300_000);
    expect(taken.join("")).toContain("log_lines_lost");
  });

  it("writes lines in one batch", async () => {
    const taken: string[] = [];
    const stream = new Writable({
      write(chunk, _encoding, done) {
        taken.push(String(chunk));
        done();
      },
    });
    const writer = LineWriter.create(stream);
    writer.write("one\n");
    writer.write("two\n");
    await sleep(40);
    expect(taken).toEqual(["one\ntwo\n"]);
  });
});
