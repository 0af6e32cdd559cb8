import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { toId } from "../../../src/ids.ts";
import { BurnRecorder } from "../../../src/process/burn_recorder.ts";
import { formatLogLine } from "../../../src/process/log_line.ts";
import type { FinishedRequest } from "../../../src/process/services.ts";
import {
  buildObjectives,
  buildVmAnswer,
  ExampleVm,
} from "../../support/burn_examples.ts";
import { FakeVm } from "../fake_vm.ts";
import { runCommand } from "../recording_terminal.ts";

const started: FakeVm[] = [];
let folder: string;

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), "burn-"));
});

afterEach(async () => {
  for (const vm of started.splice(0)) await vm.stop();
  await rm(folder, { recursive: true });
});

function buildFinished(
  result: FinishedRequest["result"],
  requestId = "r-1",
): FinishedRequest {
  return {
    requestId: toId(requestId),
    workspace: toId("booking-web"),
    className: toId("chat"),
    pool: toId("assist"),
    upstream: toId("engine-1"),
    result,
    step: "queued",
    firstTokenMs: 10,
    betweenTokensMs: 10,
    totalMs: 100,
    tokens: 5,
    wastedTokens: 0,
  };
}

function recordMany(): BurnRecorder {
  const recorder = BurnRecorder.create(VirtualClock.create());
  for (let index = 0; index < 90; index++) {
    recorder.record(buildFinished("met"));
  }
  for (let index = 0; index < 10; index++) {
    recorder.record(buildFinished("late"));
  }
  recorder.record(buildFinished("cancelled"));
  return recorder;
}

async function startBurn(extra: object = {}): Promise<string[]> {
  const series = recordMany().collect();
  const vm = await FakeVm.startFixed({
    "/v1/burn": {
      vms: [{ vm: "entry-1", incarnation: "i1", up_ms: 0, series }],
      missing: [{ vm: "entry-2", why: "No answer" }],
      objectives: [{
        class: "chat",
        tier: "interactive",
        objective: 0.95,
        workspaces: {},
      }],
      ...extra,
    },
  });
  started.push(vm);
  return ["burn", "--url", vm.url, "--token", "t"];
}

describe("burn", () => {
  test("shows burn rates, causes and missing VMs", async () => {
    const { output, exitCode } = await runCommand(await startBurn());
    expect(output).toContain("Not reached: entry-2 (No answer).");
    expect(output).toMatch(
      /^chat +\(all\) +95\.0% +100 +10( +2\.0){5} +-100\.0% /m,
    );
    expect(output).toMatch(
      /^chat +booking-web +late +queued +assist +engine-1 +10 +10 +r-1$/m,
    );
    expect(exitCode).toBe(0);
  });

  test("lists burning budgets and their causes by property", async () => {
    const vms = ["entry-1", "entry-3"].map((vm, index) =>
      ExampleVm.create({ vm, incarnation: "i1", seed: index + 1 })
    );
    for (const vm of vms) {
      await vm.runMinutes(70);
      await vm.runMinutes(30, { isFailing: true });
    }
    const args = await startBurn({
      vms: vms.map(buildVmAnswer),
      objectives: buildObjectives({ chat: { garages: 0.999 } }),
    });
    const { output } = await runCommand(args);
    expect(output).toMatch(
      /^chat of garages burns its budget fast: [\d.]+ over 5min and [\d.]+ over 1h, both above 14\.4$/m,
    );
    expect(output).not.toMatch(/^summary burns/m);
    expect(output).toMatch(/^upstream +\(none\) +\d+ +█+$/m);
    expect(output).toMatch(/^tier +interactive +\d+ +█+$/m);
  });

  test("counts late, refused and lost requests, but not cancelled ones", async () => {
    const { output } = await runCommand([...await startBurn(), "--json"]);
    const { rows } = JSON.parse(output);
    expect(rows[0]).toMatchObject({ class: "chat", objective: 0.95 });
    expect(rows[0].windows[0]).toMatchObject({
      window: "5min",
      counts: { met: 90, late: 10, refused: 0, lost: 0, cancelled: 1 },
      counted: 100,
      bad: 10,
      bad_share: 0.1,
      burn_rate: 2,
    });
  });

  // Scripts depend on this key, which differs from the name in the code.
  test("aggregates the causes by each property under the key blame", async () => {
    const { output } = await runCommand([...await startBurn(), "--json"]);
    const { blame } = JSON.parse(output);
    expect(Object.keys(blame))
      .toEqual(["result", "tier", "step", "pool", "upstream"]);
    expect(blame.result[0]).toMatchObject({ value: "late", total: 10 });
  });

  test("reads objectives from records if the VM sends none", async () => {
    const args = await startBurn({ objectives: [] });
    const without = JSON.parse((await runCommand([...args, "--json"])).output);
    expect(without.rows[0].objective).toBeNull();
    expect(without.rows[0].windows[0].burn_rate).toBeNull();
    const records = ["--records", "examples/kontrola_sever"];
    const run = await runCommand([...args, ...records, "--json"]);
    const chat = JSON.parse(run.output).rows.find(
      (row: { class: string; workspace: string | null }) =>
        row.class === "chat" && row.workspace === null,
    );
    expect(chat.objective).toBe(0.95);
    expect(chat.windows[0].burn_rate).toBe(2);
  });

  test("refuses figures of another release", async () => {
    const args = await startBurn({
      vms: [{ vm: "entry-1", incarnation: "i1", series: { formatVersion: 9 } }],
    });
    const run = await runCommand(args);
    expect(run.error).toContain("sent burn figures in an unknown format");
    expect(run.exitCode).toBe(4);
  });

  test("colours a terminal unless NO_COLOR is set", async () => {
    const args = await startBurn();
    const colour = { hasColour: true };
    expect((await runCommand(args, colour)).output).toContain("\u001b[");
    const plain = { ...colour, variables: { NO_COLOR: "1" } };
    expect((await runCommand(args, plain)).output).not.toContain("\u001b");
    expect((await runCommand(args)).output).not.toContain("\u001b");
  });

  test("writes a page that loads no external resources", async () => {
    const file = join(folder, "page.html");
    await runCommand([...await startBurn(), "--html", file]);
    const page = await readFile(file, "utf8");
    expect(page).toContain("entry-2");
    expect(page).toContain("<svg");
    expect(page).not.toMatch(/<script|\ssrc=|\shref=|@import|url\(/);
    expect(page).toContain("default-src 'none'");
  });

  test("exits with 3 if the page cannot be written", async () => {
    const file = join(folder, "none", "page.html");
    const run = await runCommand([...await startBurn(), "--html", file]);
    expect(run.error).toContain(`${file} cannot be written`);
    expect(run.exitCode).toBe(3);
  });
});

describe("burn --fold", () => {
  async function saveReport(): Promise<string> {
    const file = join(folder, "saved.json");
    const run = await runCommand([...await startBurn(), "--json"]);
    await writeFile(file, run.output);
    return file;
  }

  function formatFinished(requestId: string, fields: object = {}): string {
    return formatLogLine({
      time: "2029-01-01T00:00:00.000Z",
      level: "info",
      event: "request_finished",
      fields: {
        request_id: requestId,
        workspace: "booking-web",
        class: "chat",
        outcome: "answered",
        result: "met",
        total_ms: 100,
        tokens: 5,
        wasted_tokens: 0,
        ...fields,
      },
    });
  }

  async function foldFiles(files: string[]) {
    const run = await runCommand(["burn", "--json", "--fold", ...files]);
    return JSON.parse(run.output);
  }

  test("counts a report once if it is given twice", async () => {
    const file = await saveReport();
    const once = await foldFiles([file]);
    const twice = await foldFiles([file, file]);
    expect(twice.rows).toEqual(once.rows);
    expect(twice.rows[0].windows[0].counted).toBe(100);
    expect(twice.missing.map(({ vm }: { vm: string }) => vm))
      .toEqual(["entry-2"]);
  });

  test("counts each request from logs once", async () => {
    const log = join(folder, "daemon.log");
    await writeFile(
      log,
      [
        "not a line of ours",
        formatFinished("r~entry-3~i3~1~1~code"),
        formatFinished("r~entry-3~i3~1~1~code"),
        formatFinished("r~entry-3~i3~2~1~code", { result: "lost" }),
        formatFinished("r~entry-3~i3~3~1~code", {
          result: "refused",
          code: "bad_request",
        }),
      ].join("\n"),
    );
    const folded = await foldFiles([log]);
    expect(folded.log_requests).toBe(2);
    expect(folded.rows[0].windows[0].counts)
      .toMatchObject({ met: 1, lost: 1, refused: 0 });
    expect(folded.causes[0].examples).toEqual(["r~entry-3~i3~2~1~code"]);
  });

  // Guards against counting requests twice: a report merged with a log is saved
  // and later merged with the same log again. The counts do not record which
  // log lines they include.
  test("refuses a report that was merged with logs", async () => {
    const log = join(folder, "daemon.log");
    await writeFile(log, formatFinished("r~entry-3~i3~1~1~code"));
    const run = await runCommand(["burn", "--json", "--fold", log]);
    const file = join(folder, "folded.json");
    await writeFile(file, run.output);
    const again = await runCommand(["burn", "--fold", file, log]);
    expect(again.error).toContain("was itself merged with log files");
    expect(again.exitCode).toBe(3);
  });

  test.each([
    ["{}", "is not a report saved by burn --json"],
    ["nothing", "contain no report and no finished request"],
  ])("refuses a file that holds %s", async (text, why) => {
    const file = join(folder, "file");
    await writeFile(file, text);
    const run = await runCommand(["burn", "--fold", file]);
    expect(run.error).toContain(why);
    expect(run.exitCode).toBe(3);
  });

  test("exits with 3 and names a file that cannot be read", async () => {
    const file = join(folder, "none.json");
    const run = await runCommand(["burn", "--fold", file]);
    expect(run.error).toContain(`${file} cannot be read`);
    expect(run.exitCode).toBe(3);
  });
});
