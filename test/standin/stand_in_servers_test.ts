/**
 * Tests of the stand-ins over HTTP: formats, cancel, faults and watches.
 *
 * @module
 */
import { afterEach, describe, expect, it } from "vitest";
import { EngineAnswer } from "../../standin/engine_answer.ts";
import { EngineServer } from "../../standin/engine_server.ts";
import type { HttpStandIn } from "../../standin/http_stand_in.ts";
import { PlatformServer } from "../../standin/platform_server.ts";
import { ServiceServer } from "../../standin/service_server.ts";

const FAST_ENGINE = { baseMs: 1, perRunningMs: 0, prefillMsPerToken: 0 };
const PROMPT = "Žádost [[tokens=12]]";
const COMPLETE_TEXT = EngineAnswer.create({
  prompt: `user: ${PROMPT}`,
  model: "m",
  maxTokens: 100,
}).getText();

const started: HttpStandIn[] = [];

async function startStandIn(standIn: HttpStandIn): Promise<string> {
  started.push(standIn);
  return `http://127.0.0.1:${await standIn.start()}`;
}

function sendChat(
  base: string,
  body: Record<string, unknown> = {},
  options: { headers?: Record<string, string>; signal?: AbortSignal } = {},
): Promise<Response> {
  const messages = [{ role: "user", content: PROMPT }];
  return fetch(`${base}/v1/chat/completions`, {
    method: "POST",
    headers: { "x-request-id": "r1", ...options.headers },
    body: JSON.stringify({ model: "m", messages, max_tokens: 100, ...body }),
    signal: options.signal ?? null,
  });
}

function sendControl(base: string, body: unknown): Promise<Response> {
  const init = { method: "POST", body: JSON.stringify(body) };
  return fetch(`${base}/control`, init);
}

async function readEvents(answer: Response): Promise<unknown[]> {
  const parts = (await answer.text()).trimEnd().split("\n\n");
  return parts.map((part) => {
    const text = part.replace(/^data: /, "");
    return text === "[DONE]" ? text : JSON.parse(text);
  });
}

afterEach(async () => {
  await Promise.all(started.splice(0).map((standIn) => standIn.stop()));
});

describe("EngineServer", () => {
  it("answers in one response, or streams one event per token", async () => {
    const base = await startStandIn(EngineServer.create(FAST_ENGINE));
    const complete = await (await sendChat(base)).json();
    expect(complete).toMatchObject({
      id: "r1",
      choices: [{ message: { content: COMPLETE_TEXT }, finish_reason: "stop" }],
      usage: { completion_tokens: 12 },
    });
    const events = await readEvents(
      await sendChat(base, {
        stream: true,
        stream_options: { include_usage: true },
      }),
    );
    // Twelve tokens, the finish reason, the usage and [DONE].
    expect(events).toHaveLength(15);
    expect(events[13]).toMatchObject({ choices: [], usage: {} });
    expect(events[14]).toBe("[DONE]");
  });

  it("returns only the remainder of a resumed answer", async () => {
    const base = await startStandIn(EngineServer.create(FAST_ENGINE));
    const complete = EngineAnswer.create({
      prompt: `user: ${PROMPT}`,
      model: "m",
      maxTokens: 100,
    });
    const resumed = await sendChat(
      base,
      { resume_text: complete.getText(0, 5) },
      { headers: { "x-resume-tokens": "5" } },
    );
    expect(await resumed.json()).toMatchObject({
      choices: [{ message: { content: complete.getText(5) } }],
      usage: { completion_tokens: 12 },
    });
  });

  it("cancels the work when the connection closes", async () => {
    const server = EngineServer.create({ ...FAST_ENGINE, baseMs: 20 });
    const base = await startStandIn(server);
    const caller = new AbortController();
    const answer = await sendChat(base, { stream: true }, {
      signal: caller.signal,
    });
    expect(answer.status).toBe(200);
    caller.abort();
    await expect.poll(() => server.core.counts.cancelled).toBe(1);
    expect(server.core.running).toBe(0);
  });

  it("refuses without doing work, closes connections at a crash, and restarts", async () => {
    const base = await startStandIn(EngineServer.create(FAST_ENGINE));
    await sendControl(base, { refuse_next: 1 });
    const refused = await sendChat(base);
    expect(refused.status).toBe(503);
    expect(await refused.json())
      .toMatchObject({ error: { code: "not_started" } });
    await sendControl(base, { crash_after_tokens: 4 });
    const truncated = await sendChat(base, { stream: true });
    await expect(truncated.text()).rejects.toThrow();
    await expect(sendChat(base)).rejects.toThrow();
    await sendControl(base, { start_again: true });
    expect((await sendChat(base)).status).toBe(200);
  });

  it("serves load, cache events and commands as documented", async () => {
    const options = { ...FAST_ENGINE, loadLagMs: 0, cacheEventDelayMs: 0 };
    const base = await startStandIn(
      EngineServer.create({ ...options, cacheEventGapShare: 0 }),
    );
    await (await sendChat(base, {}, {
      headers: { "x-prefix-hashes": "a,b" },
    })).text();
    const events = await (await fetch(`${base}/v1/cache/events?after=1`))
      .json();
    expect(events).toEqual({
      events: [{ sequence: 2, prefix: "b", change: "stored" }],
    });
    const sendCommand = (fencing: number) =>
      fetch(`${base}/v1/orders`, {
        method: "POST",
        body: JSON.stringify({ action: "role", role: "decode", fencing }),
      });
    expect((await sendCommand(3)).status).toBe(200);
    expect((await sendCommand(2)).status).toBe(409);
    const load = await (await fetch(`${base}/v1/load`)).json();
    expect(load).toMatchObject({
      running: 0,
      role: "decode",
      fencing: 3,
      cache_sequence: 2,
    });
  });

  it("refuses a malformed body", async () => {
    const base = await startStandIn(EngineServer.create(FAST_ENGINE));
    expect((await sendChat(base, { messages: [] })).status).toBe(400);
  });
});

describe("ServiceServer", () => {
  it("counts executed holds by request id, even if the answer is lost", async () => {
    const server = ServiceServer.create();
    const base = await startStandIn(server);
    const hold = () =>
      fetch(`${base}/holds`, {
        method: "POST",
        headers: { "x-request-id": "h1" },
        body: "{}",
      });
    await sendControl(base, { faults: ["not_started", "cut_before"] });
    const refused = await hold();
    expect(refused.status).toBe(503);
    expect(refused.headers.get("x-not-started")).toBe("1");
    await expect(hold()).rejects.toThrow();
    expect(server.core.countExecutions("h1")).toBe(0);
    await sendControl(base, { faults: ["cut_after"] });
    await expect(hold()).rejects.toThrow();
    expect((await hold()).status).toBe(201);
    expect(server.core.countExecutions("h1")).toBe(2);
  });

  it("answers a repeated look-up identically", async () => {
    const base = await startStandIn(ServiceServer.create());
    const texts = [];
    for (let round = 0; round < 2; round++) {
      texts.push(await (await fetch(`${base}/lookup/slot-1`)).text());
    }
    expect(texts[0]).toBe(texts[1]);
  });
});

describe("PlatformServer", () => {
  it("answers a watch at a change and counts each call", async () => {
    const server = PlatformServer.create();
    const base = await startStandIn(server);
    server.core.addVersion({ policy: [{ kind: "policy" }] });
    const first = await fetch(`${base}/v1/values/index`);
    expect(await first.json()).toEqual({ version: 1, groups: { policy: 1 } });
    const watch = fetch(`${base}/v1/values/index?after=1&wait_ms=30000`);
    await expect.poll(() => server.core.calls).toBe(2);
    server.core.addVersion({ tiers: [] });
    expect(await (await watch).json())
      .toEqual({ version: 2, groups: { policy: 1, tiers: 2 } });
    const group = await fetch(`${base}/v1/values/groups/policy/1`);
    expect(await group.json()).toEqual({ records: [{ kind: "policy" }] });
    const unchanged = await fetch(`${base}/v1/values/index?after=2&wait_ms=1`);
    expect(unchanged.status).toBe(304);
    expect(server.core.calls).toBe(4);
  });

  it("serves a stale list or closes connections under an injected fault", async () => {
    const server = PlatformServer.create();
    const base = await startStandIn(server);
    server.core.addList([{ id: "a" }]);
    server.core.addList([{ id: "b" }]);
    const fetchList = () => fetch(`${base}/v1/membership?after=0`);
    await sendControl(base, { fault: "stale" });
    expect(await (await fetchList()).json()).toMatchObject({ revision: 1 });
    await sendControl(base, { fault: "down" });
    await expect(fetchList()).rejects.toThrow();
    await sendControl(base, { fault: "none" });
    expect(await (await fetchList()).json()).toMatchObject({ revision: 2 });
  });
});
