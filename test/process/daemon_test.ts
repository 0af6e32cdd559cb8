import { copyFileSync, mkdtempSync, writeFileSync } from "node:fs";
import { request } from "node:https";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TLSSocket } from "node:tls";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { findFreePorts } from "../../demo/free_ports.ts";
import { Daemon } from "../../src/process/daemon.ts";
import { parseSettings } from "../../src/process/settings.ts";

const TOKEN = "operators-token";
const FIXTURES = "test/connection/fixtures";
const READY_ATTEMPTS = 300;
const READY_POLL_MS = 20;

interface Answer {
  status: number;
  body: string;
  /** Fingerprint of the listener's certificate. */
  certificate: string;
}

let directory: string;
let operatorsPort: number;
let daemon: Daemon;

/** Fetches from the operators' listener on a new connection. */
function fetchText(path: string): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const call = request({
      host: "127.0.0.1",
      port: operatorsPort,
      path,
      headers: { authorization: `Bearer ${TOKEN}` },
      agent: false,
      rejectUnauthorized: false,
    }, (response) => {
      const shown = (response.socket as TLSSocket).getPeerCertificate();
      let body = "";
      response.setEncoding("utf8");
      response.on("data", (part: string) => body += part);
      response.on("end", () => {
        const status = response.statusCode ?? 0;
        resolve({ status, body, certificate: shown.fingerprint256 });
      });
    });
    call.on("error", reject);
    call.end();
  });
}

async function fetchJson(path: string): Promise<Record<string, unknown>> {
  const { body } = await fetchText(path);
  return JSON.parse(body) as Record<string, unknown>;
}

async function waitUntilReady(): Promise<void> {
  for (let count = 0; count < READY_ATTEMPTS; count++) {
    if ((await fetchText("/readyz")).status === 200) return;
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error("The daemon did not become ready");
}

function putCertificate(name: "tls_a" | "tls_b"): void {
  for (const part of ["cert", "key"]) {
    copyFileSync(
      join(FIXTURES, `${name}.${part}.pem`),
      join(directory, `${part}.pem`),
    );
  }
}

beforeEach(async () => {
  directory = mkdtempSync(join(tmpdir(), "daemon-"));
  putCertificate("tls_a");
  const [callers, peers, operators] = await findFreePorts(3);
  operatorsPort = operators!;
  const host = "127.0.0.1";
  const settings = {
    vm: "entry-1",
    data_centre: "home",
    address: host,
    listeners: {
      callers: { port: callers, host },
      peers: { port: peers, host, secret: "peers-secret" },
      operators: {
        port: operators,
        host,
        token: TOKEN,
        tls: {
          cert_file: join(directory, "cert.pem"),
          key_file: join(directory, "key.pem"),
        },
      },
    },
    source: { kind: "directory", path: "examples/one_vm" },
    log_level: "error",
  };
  daemon = Daemon.create(parseSettings(JSON.stringify(settings), "settings"));
  await daemon.start();
});

afterEach(() => daemon.stop());

describe("reloaded TLS files", () => {
  test("are used for new connections", async () => {
    const before = await fetchText("/healthz");
    putCertificate("tls_b");
    daemon.updateTls();
    const after = await fetchText("/healthz");
    expect(after.status).toBe(200);
    expect(after.certificate).not.toBe(before.certificate);
  });

  // During a renewal, SIGHUP can arrive after the certificate is written but
  // before the key. An exception in the signal handler would end the process
  // and every request in flight.
  test("leave the listener as it is if one is invalid", async () => {
    const before = await fetchText("/healthz");
    writeFileSync(join(directory, "key.pem"), "half a k");
    expect(() => daemon.updateTls()).not.toThrow();
    const after = await fetchText("/healthz");
    expect(after).toEqual(before);
  });
});

test("the operator API names the configuration source", async () => {
  await waitUntilReady();
  const versions = await fetchJson("/v1/versions");
  expect(versions.vms).toMatchObject([{ version: 1, from: "directory" }]);
  expect(versions.history).toMatchObject([
    { version: 1, from: "directory", result: "accepted", problems: [] },
  ]);
  const [decision] = versions.history as { age_ms: number }[];
  expect(decision!.age_ms).toBeGreaterThanOrEqual(0);
  const { body } = await fetchText("/metrics");
  expect(body).toMatch(/^persimmonslip_configuration_version 1$/m);
  expect(body).toMatch(/^persimmonslip_membership_revision 1$/m);
  expect(body).toMatch(/^persimmonslip_requests_in_flight 0$/m);
  expect(body).toMatch(/^persimmonslip_unreachable_vms 0$/m);
  expect(body).toMatch(/^persimmonslip_ready 1$/m);
  expect(body).toMatch(/^persimmonslip_draining 0$/m);
  expect(body).toMatch(/^persimmonslip_view_age_seconds \d/m);
});

test("the operators' listener serves the same status page as callers get", async () => {
  await waitUntilReady();
  const id = daemon.runtime.issueId();
  const path = `/v1/requests/${encodeURIComponent(id)}`;
  expect((await fetchText(path)).status).toBe(404);
  daemon.runtime.requestStatuses.start({
    requestId: id,
    vm: daemon.environment.vm,
    workspace: undefined,
    className: undefined,
    arrivedAt: "2026-01-01T00:00:00.000Z",
    configVersion: 1,
    outcome: "ran",
    code: "upstream_failed",
    steps: [{ step: "arrived", ageMs: 1 }],
    droppedSteps: 0,
    tokens: 3,
  });
  expect(await fetchJson(path)).toEqual({
    request_id: id,
    outcome: "ran",
    code: "upstream_failed",
    vm: "entry-1",
    arrived_at: "2026-01-01T00:00:00.000Z",
    config_version: 1,
    tokens: 3,
    steps: [{ step: "arrived", age_ms: 1 }],
    dropped_steps: 0,
  });
});
