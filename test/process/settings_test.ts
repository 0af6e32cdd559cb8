import { mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { findJsonError } from "../../src/process/json_scanner.ts";
import {
  parseSettings,
  readSettings,
  SettingsError,
} from "../../src/process/settings.ts";
import { listSettingRows } from "./settings_page.ts";

const SECRETS = { PEER_SECRET: "from-env" };

function buildInput(): Record<string, unknown> {
  return {
    vm: "entry-1",
    data_centre: "dc-1",
    address: "127.0.0.1",
    listeners: {
      callers: { port: 8080, tls: { cert_file: "c.pem", key_file: "k.pem" } },
      peers: { port: 8081, secret: { env: "PEER_SECRET" } },
      operators: { port: 8082, token: "a-token", host: "::1" },
    },
    source: { kind: "service", urls: ["http://127.0.0.1:9000"] },
    limits: { max_body_bytes: 1_000 },
    drain: { grace_ms: 2_000 },
    log_level: "debug",
    seeds: [{ vm: "entry-2", address: "127.0.0.2", peer_port: 8181 }],
  };
}

function findError(input: unknown): SettingsError {
  const text = typeof input === "string" ? input : JSON.stringify(input);
  try {
    parseSettings(text, "s.json", { secrets: SECRETS });
  } catch (thrown) {
    if (thrown instanceof SettingsError) return thrown;
    throw thrown;
  }
  throw new Error("No error was thrown");
}

/** Builds valid settings with one value replaced. */
function buildWith(path: string[], value: unknown): unknown {
  const input = buildInput();
  let node = input;
  for (const key of path.slice(0, -1)) {
    node = node[key] as Record<string, unknown>;
  }
  node[path.at(-1)!] = value;
  return input;
}

describe("parseSettings", () => {
  test("returns camelCase settings with defaults and secrets", () => {
    const text = JSON.stringify(buildInput());
    expect(parseSettings(text, "s.json", { secrets: SECRETS })).toEqual({
      vm: "entry-1",
      dataCentre: "dc-1",
      address: "127.0.0.1",
      listeners: {
        callers: {
          port: 8080,
          host: "0.0.0.0",
          tls: { certFile: "c.pem", keyFile: "k.pem" },
        },
        peers: { port: 8081, host: "0.0.0.0", secret: "from-env" },
        operators: { port: 8082, host: "::1", token: "a-token" },
      },
      source: { kind: "service", urls: ["http://127.0.0.1:9000"] },
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000,
        maxConnections: 10_000,
        headerTimeoutMs: 10_000,
        bodyTimeoutMs: 30_000,
      },
      drain: { graceMs: 2_000, entriesTtlMs: 10_000 },
      logLevel: "debug",
      retainedAnswersBytes: 16_777_216,
      seeds: [{ vm: "entry-2", address: "127.0.0.2", peerPort: 8181 }],
    });
  });

  test.each([
    [["vm"], "", "$.vm", "a non-empty string"],
    [["address"], "localhost", "$.address", "an IP address"],
    [["listeners", "callers", "port"], 70_000, "$.listeners.callers.port", ""],
    [
      ["listeners", "callers", "prot"],
      1,
      "$.listeners.callers.prot",
      "Unknown setting",
    ],
    [
      ["listeners", "callers", "tls", "ca_file"],
      "ca.pem",
      "$.listeners.callers.tls.ca_file",
      "Unknown setting",
    ],
    [["colour"], "red", "$.colour", "Unknown setting"],
    [["source"], { kind: "disk" }, "$.source.kind", '"service" or "directory"'],
    [
      ["source"],
      { kind: "service", urls: ["ftp://x"] },
      "$.source.urls[0]",
      "",
    ],
    [["limits", "max_connections"], 0, "$.limits.max_connections", "1 or more"],
    [["log_level"], "loud", "$.log_level", "debug, info, warn, error"],
    [["seeds"], [{ vm: "a" }], "$.seeds[0].address", "it is missing"],
  ])("reports the path of %j set to %j", (path, value, jsonPath, expected) => {
    const error = findError(buildWith(path, value));
    expect(error.jsonPath).toBe(jsonPath);
    expect(error.message).toContain(`s.json: ${jsonPath}: `);
    expect(error.message).toContain(expected);
  });

  test("accepts a CA file for the peers' listener", () => {
    const tls = { cert_file: "c.pem", key_file: "k.pem", ca_file: "ca.pem" };
    const input = buildWith(["listeners", "peers", "tls"], tls);
    const settings = parseSettings(JSON.stringify(input), "s.json", {
      secrets: SECRETS,
    });
    expect(settings.listeners.peers.tls?.caFile).toBe("ca.pem");
  });

  test("lists all errors, not only the first", () => {
    const error = findError({});
    for (const path of ["vm", "data_centre", "address", "listeners"]) {
      expect(error.message).toContain(`$.${path}: Expected`);
    }
  });

  test("names the environment variable that a secret lacks", () => {
    const error = findError(
      buildWith(["listeners", "operators", "token"], { env: "NOT_SET" }),
    );
    expect(error.jsonPath).toBe("$.listeners.operators.token");
    expect(error.message).toContain("NOT_SET");
  });

  test("does not print an invalid secret", () => {
    const secret = { env: "X", value: "hunter2" };
    const error = findError(
      buildWith(["listeners", "peers", "secret"], secret),
    );
    expect(error.message).not.toContain("hunter2");
  });

  test.each([
    ['{\n  "vm": "a",\n  vm: 1}', "line 3, column 3", "key in double quotes"],
    ['{"vm": "a", "vm": "b"}', "line 1, column 13", "duplicate key"],
    ['{"vm": "a"', "line 1, column 11", "the file ends here"],
    ["{} {}", "line 1, column 4", "end of the file"],
    ["[".repeat(100_000), "line 1, column 66", "nested deeper"],
  ])("reports line and column of a syntax error", (text, place, message) => {
    const error = findError(text);
    expect(error.message).toContain(place);
    expect(error.message).toContain(message);
  });
});

describe("readSettings", () => {
  test("reads a file, and names the file if it is missing", () => {
    const path = join(mkdtempSync(join(tmpdir(), "settings-")), "s.json");
    expect(() => readSettings(path, SECRETS)).toThrow(path);
    writeFileSync(path, JSON.stringify(buildInput()));
    expect(readSettings(path, SECRETS).vm).toBe("entry-1");
  });
});

test("the scanner finds an error exactly if JSON.parse throws", () => {
  const damage = fc.record({
    value: fc.json({ maxDepth: 4 }),
    at: fc.nat(200),
    put: fc.constantFrom("", "{", "}", "[", "]", ",", ":", '"', "1", "\\", "-"),
  });
  fc.assert(
    fc.property(damage, ({ value, at, put }) => {
      const text = value.slice(0, at) + put + value.slice(at + 1);
      const error = findJsonError(text);
      if (error?.message.includes("duplicate key")) return;
      expect(error === undefined).toBe(isParsable(text));
    }),
    { seed: 7, numRuns: 3_000 },
  );
});

function isParsable(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

describe("docs/SETTINGS.md", () => {
  const page = readFileSync("docs/SETTINGS.md", "utf8");

  test("has exactly one row for each setting of the schema", () => {
    const rows = page.split("\n").filter((line) => line.startsWith("| `"));
    const trimmed = rows.map((row) => row.replace(/ +\|/g, " |"));
    expect(trimmed).toEqual(listSettingRows());
  });

  test("has a valid example", () => {
    const example = page.split("```json")[1]!.split("```")[0]!;
    const secrets = {
      PERSIMMONSLIP_PEER_SECRET: "a",
      PERSIMMONSLIP_TOKEN: "b",
    };
    expect(parseSettings(example, "docs", { secrets }).vm).toBe("entry-1");
  });
});
