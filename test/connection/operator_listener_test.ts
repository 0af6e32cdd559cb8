import { describe, expect, it, onTestFinished } from "vitest";
import type { HealthAnswer } from "../../src/connection/index.ts";
import { OperatorApi, OperatorListener } from "../../src/connection/index.ts";
import type { RequestId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import { LOOPBACK } from "../support/loopback.ts";

const TOKEN = "operator-token";

class FakeOperatorApi extends OperatorApi {
  isReady = true;

  override getStatus(): Promise<object> {
    return Promise.resolve({ call: "status" });
  }
  override listVersions(): Promise<object> {
    return Promise.resolve({ call: "versions" });
  }
  override startDrain(): Promise<object> {
    return Promise.resolve({ call: "drain" });
  }
  override findRequestStatus(
    requestId: RequestId,
  ): Promise<object | undefined> {
    return Promise.resolve(requestId === "r-1" ? { requestId } : undefined);
  }
  override collectBurn(query: URLSearchParams): Promise<object> {
    return Promise.resolve({ call: "burn", window: query.get("window") });
  }
  override renderMetrics(): Promise<string> {
    return Promise.resolve("a 1\n");
  }
  override checkHealth(): HealthAnswer {
    return { ok: true, detail: "Works" };
  }
  override checkReadiness(): HealthAnswer {
    return { ok: this.isReady, detail: "Waits for a configuration" };
  }
}

async function startListener() {
  const api = new FakeOperatorApi();
  const listener = OperatorListener.create({
    clock: SystemClock.create(),
    log: SilentLog.create(),
    token: TOKEN,
    api,
  });
  await listener.start(LOOPBACK, 0);
  onTestFinished(async () => {
    const stopped = listener.stop();
    listener.closeAll();
    await stopped;
  });
  const send = (method: string, path: string, token?: string) => {
    return fetch(`http://${LOOPBACK}:${listener.port}${path}`, {
      method,
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
    });
  };
  return { api, send };
}

const CALLS: [string, string, object][] = [
  ["GET", "/v1/status", { call: "status" }],
  ["GET", "/v1/versions", { call: "versions" }],
  ["POST", "/v1/drain", { call: "drain" }],
  ["GET", "/v1/requests/r-1", { requestId: "r-1" }],
  ["GET", "/v1/burn?window=1h", { call: "burn", window: "1h" }],
];

describe("OperatorListener", () => {
  it.each(CALLS)("answers %s %s", async (method, path, expected) => {
    const { send } = await startListener();
    const answer = await send(method, path, TOKEN);
    expect(answer.status).toBe(200);
    expect(await answer.json()).toEqual(expected);
  });

  it.each([...CALLS, ["GET", "/metrics", {}] as [string, string, object]])(
    "refuses %s %s without the right token",
    async (method, path) => {
      const { send } = await startListener();
      for (const token of [undefined, "", "guess", `${TOKEN}x`]) {
        expect((await send(method, path, token)).status).toBe(401);
      }
    },
  );

  it("returns metrics as text", async () => {
    const { send } = await startListener();
    const answer = await send("GET", "/metrics", TOKEN);
    expect(answer.headers.get("content-type")).toContain("version=0.0.4");
    expect(await answer.text()).toBe("a 1\n");
  });

  it("reports health and readiness without a token", async () => {
    const { api, send } = await startListener();
    expect((await send("GET", "/healthz")).status).toBe(200);
    expect((await send("GET", "/readyz")).status).toBe(200);
    api.isReady = false;
    const answer = await send("GET", "/readyz");
    expect(answer.status).toBe(503);
    expect(await answer.json()).toMatchObject({ ok: false });
  });

  it.each([
    ["GET", "/v1/requests/other"],
    ["GET", "/v1/drain"],
    ["GET", "/"],
  ])("answers %s %s with 404", async (method, path) => {
    const { send } = await startListener();
    expect((await send(method, path, TOKEN)).status).toBe(404);
  });
});
