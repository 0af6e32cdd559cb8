import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, it, onTestFinished } from "vitest";
import { SilentLog } from "../../src/process/log.ts";
import { RefusingVm } from "../../src/process/refusing_vm.ts";
import { readRoutedSettings } from "../../src/process/routed_settings.ts";
import { findClosedPort, LOOPBACK } from "../support/loopback.ts";

function writeSettings(text: string): string {
  const path = join(mkdtempSync(join(tmpdir(), "settings-")), "settings.json");
  writeFileSync(path, text);
  return path;
}

function createVm(): RefusingVm {
  const vm = RefusingVm.create(SilentLog.create());
  onTestFinished(() => vm.stop());
  return vm;
}

describe("RefusingVm", () => {
  // Guards against callers that see broken connections and cannot tell whether
  // their request was executed: with an invalid setting, a process that exits
  // before it listens is restarted again and again.
  it("refuses requests on the configured listeners with a retry time", async () => {
    const callers = `${LOOPBACK}:${await findClosedPort()}`;
    const settings = { listeners: { callers, state: 7 }, vm: "" };
    const path = writeSettings(JSON.stringify(settings));
    expect(() => readRoutedSettings(path)).toThrow("Settings are not valid");
    expect(await createVm().start(path)).toBe(1);
    const answer = await fetch(`http://${callers}/any`, {
      method: "POST",
      body: "body",
    });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers.get("retry-after"))).toBeGreaterThan(0);
    expect(await answer.text()).toContain("nothing was run");
  });

  it.each(["{", "[]", '{"listeners": {"callers": "nowhere"}}'])(
    "reports that no listener could be read from %s",
    async (text) => {
      expect(await createVm().start(writeSettings(text))).toBe(0);
    },
  );
});
