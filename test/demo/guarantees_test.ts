/**
 * Tests of the demo's comparison of callers' outcomes with upstreams' work.
 *
 * @module
 */
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import type { RequestResult } from "../../demo/callers.ts";
import { sendCall } from "../../demo/http_call.ts";
import type { Outcome } from "../../demo/outcomes.ts";
import {
  checkGuarantees,
  type GuaranteeReport,
} from "../../demo/guarantees.ts";
import type { Expectation } from "../../demo/workload.ts";
import { EngineServer } from "../../standin/engine_server.ts";
import { ServiceServer } from "../../standin/service_server.ts";

const POST: Expectation = { kind: "post", echo: "{}" };
const LOOKUP: Expectation = { kind: "lookup", body: "" };
const NOT_RUN: Outcome = { kind: "refused", outcome: "not_run", code: "shed" };
const ANSWERED: Outcome = { kind: "answered", totalMs: 1 };

let engine: EngineServer;
let service: ServiceServer;

function check(
  outcome: Outcome,
  expected: Expectation = POST,
): Promise<GuaranteeReport> {
  const result: RequestResult = {
    request: {
      number: 0,
      atMs: 0,
      className: "c",
      key: "k",
      method: "POST",
      path: "/",
      body: undefined,
      expected,
      behaviour: "plain",
      abortAfterBytes: undefined,
    },
    requestId: "r1",
    port: 1,
    outcome,
  };
  const ports = { enginePorts: [engine.port], servicePorts: [service.port] };
  return checkGuarantees(ports, [result]);
}

function sendToService(method: string, path: string) {
  const headers = { "x-request-id": "r1" };
  return sendCall({ port: service.port, method, path, headers });
}

describe("checkGuarantees", () => {
  beforeEach(async () => {
    engine = EngineServer.create();
    service = ServiceServer.create({ delayMs: 0 });
    await engine.start();
    await service.start();
  });

  afterEach(async () => {
    await engine.stop();
    await service.stop();
  });

  it("detects false outcomes and repeated executions at the service", async () => {
    expect((await check(NOT_RUN)).violations).toEqual([]);
    expect((await check(ANSWERED)).violations).toHaveLength(1);
    await sendToService("GET", "/lookup/a");
    expect((await check(NOT_RUN, LOOKUP)).violations).toHaveLength(1);
    await sendToService("POST", "/holds");
    expect((await check(ANSWERED)).violations).toEqual([]);
    await sendToService("POST", "/holds");
    expect((await check(ANSWERED)).violations).toHaveLength(1);
  });

  it("detects work that continued after its caller disconnected", async () => {
    const body = {
      model: "m",
      messages: [{ role: "user", content: "[[tokens=2]]" }],
    };
    await sendCall({
      port: engine.port,
      method: "POST",
      path: "/v1/chat/completions",
      headers: { "x-request-id": "r1" },
      body: JSON.stringify(body),
    });
    const report = await check({ kind: "cancelled" });
    expect(report.violations).toHaveLength(1);
    expect(report.generatedTokens).toBe(2);
  });
});
