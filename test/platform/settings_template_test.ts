import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect, it, onTestFinished } from "vitest";
import {
  readRoutedSettings,
  type RoutedSettings,
} from "../../src/process/routed_settings.ts";
import { type Fields, renderTemplate } from "../support/settings_template.ts";

const TEMPLATE = readFileSync("deploy/settings.json.template", "utf8");
const BOUNDS: Fields = {
  "grace-s": 8,
  "retry-budget-ratio": 0.2,
  "retry-budget-slack": 56,
};
const FIELDS: Fields = {
  "node-name": "front-1",
  zone: "hall-a",
  zones: { "hall-a": "west" },
  ip: "10.1.0.19",
  "internal-ports": [7_200, 7_215],
  seeds: ["10.1.0.19:8748"],
  listen: {
    front: "10.1.0.19:8740",
    ready: "10.1.0.19:8749",
    control: "10.1.0.19:8748",
    directory: "10.1.0.19:8746",
  },
  platform: { address: "10.200.1.7:8742" },
  "heartbeat-ms": 1_200,
  limits: { cores: 1, "cpu-share": 0.675 },
  bounds: BOUNDS,
};

function readSettings(changes: Fields): RoutedSettings {
  const folder = mkdtempSync(join(tmpdir(), "settings-"));
  onTestFinished(() => rmSync(folder, { recursive: true }));
  const path = join(folder, "settings.json");
  writeFileSync(path, renderTemplate(TEMPLATE, { ...FIELDS, ...changes }));
  return readRoutedSettings(path);
}

function readBounds(changes: Fields): RoutedSettings {
  return readSettings({ bounds: { ...BOUNDS, ...changes } });
}

// Guards against a VM that refuses all requests because a figure in its
// settings is a fraction.
it("settings are read in each form that the platform writes them in", () => {
  expect(readBounds({ "grace-s": 1 }).drainGraceMs).toBe(1_000);
  expect(readBounds({ "grace-s": 30 }).drainGraceMs).toBe(30_000);
  expect(readBounds({ "grace-s": 8.0 }).drainGraceMs).toBe(8_000);
  expect(readBounds({ "grace-s": 7.5 }).drainGraceMs).toBe(7_500);
  expect(readBounds({ "grace-s": 0.25 }).drainGraceMs).toBe(250);
  expect(readBounds({ "retry-budget-ratio": 1 }).retryShare).toBe(1);
  expect(readBounds({ "retry-budget-ratio": 0.05 }).retryShare).toBe(0.05);
  expect(readBounds({ "retry-budget-slack": 0 }).retryReserve).toBe(0);
  expect(readBounds({ "retry-budget-slack": 12.5 }).retryReserve).toBe(12.5);
  const cold = { "cold-over": 1.25, "cold-slack": 2.5 };
  expect(readBounds(cold).warmUpExcess).toEqual({ ratio: 1.25, slack: 2.5 });
  const warm = { "cold-over": 2, "cold-slack": 3 };
  expect(readBounds(warm).warmUpExcess).toEqual({ ratio: 2, slack: 3 });
  expect(readBounds({ "cold-over": false }).warmUpExcess.ratio).toBe(1);
  const beat = readSettings({ "heartbeat-ms": 1_200.5 });
  expect(beat.entryRenewalMs).toBe(1_200.5);
  expect(readSettings({ "heartbeat-ms": undefined }).entryRenewalMs)
    .toBeGreaterThan(0);
  const limits = { cores: 2, "cpu-share": 1 };
  expect(readSettings({ limits }).cores).toBe(2);
  expect(readSettings({ limits }).maxDescriptors).toBeGreaterThan(0);
  const files = { ...limits, "max-fds": 4_100.0 };
  expect(readSettings({ limits: files }).maxDescriptors).toBe(4_100);
  expect(readSettings({ metrics: true, unknown: { field: 1 } }).vm)
    .toBe("front-1");
});
