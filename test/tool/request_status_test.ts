import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, test } from "vitest";
import { toId } from "../../src/ids.ts";
import type { RequestStatus } from "../../src/request/request_status.ts";
import { formatStatusPage } from "../../src/request/request_status_page.ts";
import type { LogFields } from "../../src/process/log.ts";
import { formatLogLine } from "../../src/process/log_line.ts";
import {
  buildExplanation,
  renderExplanation,
} from "../../src/tool/request_explanation.ts";
import type { RequestStatusPage } from "../../src/tool/operator_answers.ts";
import { FakeVm } from "./fake_vm.ts";
import { runCommand } from "./recording_terminal.ts";

const ID = "r~entry-1~abc~1~2~0123456789abcdef0123";

function buildPage(change: Partial<RequestStatusPage>): RequestStatusPage {
  return {
    request_id: ID,
    outcome: "answered",
    vm: "entry-1",
    workspace: "clinic",
    class: "chat",
    arrived_at: "2026-01-01T00:00:00.000Z",
    config_version: 7,
    tokens: 40,
    steps: [
      { step: "arrived", age_ms: 0 },
      {
        step: "queued",
        age_ms: 5,
        peer: "entry-2",
        detail: "behind 3 requests of tier clerk",
      },
      { step: "granted", age_ms: 1_205, peer: "engine-4" },
      { step: "sent", age_ms: 1_206, peer: "engine-4" },
      { step: "answered", age_ms: 4_000 },
    ],
    ...change,
  };
}

function renderPage(change: Partial<RequestStatusPage>): string {
  const page = buildPage(change);
  return renderExplanation(page, buildExplanation(page));
}

describe("renderExplanation", () => {
  test("shows the queue, the wait and the replica of an answered request", () => {
    const text = renderPage({});
    expect(text).toContain("workspace clinic, class chat");
    expect(text).toContain("Answered in full, 40 tokens.");
    expect(text).toContain(
      "+5ms  Waited in the queue at entry-2: behind 3 requests of tier clerk " +
        "(took 1.2s)",
    );
    expect(text).toContain("Got a slot on replica engine-4");
    expect(text).not.toContain("What is not known");
  });

  test("shows why a request was refused, and that it may be sent again", () => {
    const text = renderPage({
      outcome: "not_run",
      code: "queue_full",
      steps: [
        { step: "arrived", age_ms: 0 },
        { step: "refused", age_ms: 3, detail: "200 requests wait already" },
      ],
    });
    expect(text).toContain("Not run (queue_full): 200 requests wait already.");
    expect(text).toContain("may be sent again safely");
  });

  test("lists what is not known and why", () => {
    const text = renderPage({
      outcome: "unknown",
      code: "upstream_timeout",
      dropped_steps: 2,
      steps: [
        { step: "sent", age_ms: 10, peer: "booking-1" },
        { step: "refused", age_ms: 900, detail: "No answer in time" },
        { step: "unknown", age_ms: 900 },
      ],
    });
    expect(text).toContain("It may have run");
    expect(text).not.toContain("safely");
    expect(text).toMatch(
      /not known:[^]*upstream did the work[^]*\(booking-1\)/,
    );
    expect(text).toContain("2 steps left out");
  });

  test("warns if a request ran but its answer did not arrive", () => {
    const text = renderPage({ outcome: "ran", code: "cancelled" });
    expect(text).toContain("Sending it again does the work twice");
  });
});

describe("fate", () => {
  test("fetches the request status from a VM", async () => {
    const path = `/v1/requests/${encodeURIComponent(ID)}`;
    const vm = await FakeVm.startFixed({ [path]: buildPage({}) });
    const options = ["--url", vm.url, "--token", "t"];
    const run = await runCommand(["fate", ID, "--json", ...options]);
    const unknown = await runCommand(["fate", "r~other", ...options]);
    await vm.stop();
    expect(JSON.parse(run.output).explanation.outcome).toContain("Answered");
    expect(run.exitCode).toBe(0);
    expect(unknown.output).toContain("Whether it ran is not known");
    expect(unknown.exitCode).toBe(1);
  });
});

test("fate parses the page that a VM builds from a request status", async () => {
  const record: RequestStatus = {
    requestId: toId(ID),
    vm: toId("entry-1"),
    workspace: toId("clinic"),
    className: toId("chat"),
    arrivedAt: "2026-01-01T00:00:00.000Z",
    configVersion: 7,
    outcome: "not_run",
    code: "shed",
    steps: [{ step: "refused", ageMs: 7, detail: "Shed" }],
    droppedSteps: 1,
    tokens: 0,
  };
  const path = `/v1/requests/${encodeURIComponent(ID)}`;
  const page = formatStatusPage(record);
  const vm = await FakeVm.startFixed({ [path]: page });
  const run = await runCommand(["fate", ID, "--url", vm.url, "--token", "t"]);
  await vm.stop();
  expect(run.output).toContain("workspace clinic, class chat");
  expect(run.output).toContain("Not run (shed): Shed.");
  expect(run.output).toContain("1 steps left out");
});

function writeLogs(events: [string, LogFields][]): string {
  const lines = events.map(([event, fields], index) =>
    formatLogLine({
      time: `2026-01-01T00:00:0${index}.000Z`,
      level: "info",
      event,
      fields,
    })
  );
  const file = join(mkdtempSync(join(tmpdir(), "logs-")), "vm.log");
  writeFileSync(file, ["Starting up", ...lines, ""].join("\n"));
  return file;
}

const STEPS: [string, LogFields][] = [
  ["request_step", { request_id: ID, step: "arrived", age_ms: 0 }],
  ["request_step", { request_id: `${ID}0`, step: "refused", age_ms: 0 }],
  ["request_step", {
    request_id: ID,
    step: "queued",
    age_ms: 2,
    detail: 'behind 1 of "clerk"',
  }],
  ["request_step", { request_id: ID, step: "sent", age_ms: 9, peer: "e-1" }],
];

describe("fate --logs", () => {
  test("builds the request status from the lines of several files", async () => {
    const first = writeLogs(STEPS);
    const second = writeLogs([["request_finished", {
      request_id: ID,
      workspace: "clinic",
      class: "chat",
      outcome: "answered",
      tokens: 12,
    }]]);
    const run = await runCommand([
      "fate",
      ID,
      "--logs",
      second,
      first,
      "--json",
    ]);
    const page = JSON.parse(run.output);
    expect(page).toMatchObject({
      outcome: "answered",
      vm: "entry-1",
      workspace: "clinic",
      arrived_at: "2026-01-01T00:00:00.000Z",
      tokens: 12,
    });
    expect(page.steps.map((step: { step: string }) => step.step))
      .toEqual(["arrived", "queued", "sent"]);
    expect(page.steps[1].detail).toBe('behind 1 of "clerk"');
  });

  // Guards against support reporting that a request did not run although it
  // did: the VM fails after queueing the request, its last log lines are lost,
  // and the missing "sent" line is taken as proof.
  test("reports unknown for a request whose end is not logged", async () => {
    const file = writeLogs(STEPS.slice(0, 3));
    const run = await runCommand(["fate", ID, "--logs", file, "--json"]);
    const page = JSON.parse(run.output);
    expect(page.outcome).toBe("unknown");
    expect(page.why).toContain("The logs end before the request did");
  });

  // Guards against a booking hold that ran being reported as not run, so that
  // the customer gets two. One VM refuses the hold; it is submitted again under
  // its id and runs on another VM. The final line read last must not win, and a
  // refusal in a single log must not be taken as conclusive.
  test("does not report not run for an id that another VM may have run", async () => {
    const refused = writeLogs([["request_finished", {
      request_id: ID,
      outcome: "not_run",
      code: "queue_full",
      vm: "entry-1",
    }]]);
    const ran = writeLogs([["request_finished", {
      request_id: ID,
      outcome: "ran",
      vm: "entry-2",
    }]]);
    for (const logs of [[ran, refused], [refused, ran]]) {
      const run = await runCommand(["fate", ID, "--logs", ...logs, "--json"]);
      expect(JSON.parse(run.output)).toMatchObject({
        outcome: "ran",
        vm: "entry-2",
      });
    }
    const alone = await runCommand(["fate", ID, "--logs", refused, "--json"]);
    const page = JSON.parse(alone.output);
    expect(page).toMatchObject({ outcome: "unknown", code: "queue_full" });
    expect(page.why).toContain("another VM may have run it");
  });

  test("reports not run for an id that is valid for one submission only", async () => {
    const id = ID.replace("r~", "s~");
    const file = writeLogs([["request_finished", {
      request_id: id,
      outcome: "not_run",
      code: "queue_full",
    }]]);
    const run = await runCommand(["fate", id, "--logs", file, "--json"]);
    expect(JSON.parse(run.output).outcome).toBe("not_run");
  });

  test("counts a line once if several files contain it", async () => {
    const file = writeLogs(STEPS);
    const run = await runCommand(["fate", ID, "--logs", file, file, "--json"]);
    expect(JSON.parse(run.output).steps).toHaveLength(3);
  });

  test("exits with 1 if no line belongs to the request", async () => {
    const file = writeLogs(STEPS);
    const run = await runCommand(["fate", "r~none", "--logs", file]);
    expect(run.output).toContain("no line of request r~none");
    expect(run.exitCode).toBe(1);
  });

  test("exits with 3 if a file cannot be read", async () => {
    const run = await runCommand(["fate", ID, "--logs", "no-such-file"]);
    expect(run.error).toContain("no-such-file cannot be read");
    expect(run.exitCode).toBe(3);
  });
});

describe("fate --logs for an id chosen by the caller", () => {
  // Guards against a refused request being reported as unknown: a VM refuses it
  // before processing begins, and only lines of processed requests are read.
  test("reports a request that was refused immediately", async () => {
    const folder = mkdtempSync(join(tmpdir(), "fate-"));
    const file = join(folder, "vm.log");
    const id = "15d3eac5c8f4186c";
    const line = formatLogLine({
      time: "2026-01-01T00:00:00.000Z",
      level: "info",
      event: "request_refused",
      fields: {
        request_id: id,
        code: "not_ready",
        outcome: "not_run",
        detail: "This VM has no configuration yet",
      },
    });
    writeFileSync(file, `${line}\n`);
    const { output } = await runCommand(["fate", id, "--logs", file]);
    expect(output).toContain("Not run (not_ready)");
    expect(output).toContain("it may be sent again safely");
  });
});
