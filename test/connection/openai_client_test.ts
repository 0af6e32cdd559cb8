import OpenAI from "openai";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { Daemon } from "../../src/process/daemon.ts";
import { parseSettings } from "../../src/process/settings.ts";
import {
  EngineAnswer,
  EngineServer,
  PlatformServer,
} from "../../standin/index.ts";
import { findClosedPort, LOOPBACK } from "../support/loopback.ts";
import { buildRawRecords } from "../version/record_fixtures.ts";

const PROMPT = "[[tokens=30]] Where is my slot?";
const POLL_MS = 10;

interface System {
  baseURL: string;
  stop: () => Promise<void>;
}

/** Starts a daemon with an engine and a platform. */
async function startSystem(): Promise<System> {
  const engine = EngineServer.create({
    models: [{ model: "m", version: "1", adapters: ["a"] }],
  });
  const platform = PlatformServer.create();
  const enginePort = await engine.start();
  await platform.start();
  const ports = [
    await findClosedPort(),
    await findClosedPort(),
    await findClosedPort(),
  ];
  const [port, peerPort, operatorPort] = ports;
  platform.core.addVersion({ all: Object.values(buildRawRecords()) });
  const location = { state: "live", data_centre: "d1", address: LOOPBACK };
  platform.core.addList([
    { ...location, id: "vm-1", role: "entry", port, peer_port: peerPort },
    {
      ...location,
      id: "u-1",
      role: "upstream",
      port: enginePort,
      peer_port: 0,
      pool: "engines",
    },
  ]);
  const listener = { host: LOOPBACK };
  const daemon = Daemon.create(parseSettings(
    JSON.stringify({
      vm: "vm-1",
      data_centre: "d1",
      address: LOOPBACK,
      log_level: "error",
      listeners: {
        callers: { ...listener, port },
        peers: { ...listener, port: peerPort, secret: "s" },
        operators: { ...listener, port: operatorPort, token: "t" },
      },
      source: {
        kind: "service",
        urls: [`http://${LOOPBACK}:${platform.port}`],
      },
    }),
    "settings.json",
  ));
  await daemon.start();
  await waitReady(`http://${LOOPBACK}:${operatorPort}/readyz`);
  return {
    baseURL: `http://${LOOPBACK}:${port}/v1`,
    stop: async () => {
      await daemon.stop();
      await platform.stop();
      await engine.stop();
    },
  };
}

async function waitReady(url: string): Promise<void> {
  while ((await fetch(url)).status !== 200) {
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

describe("the official OpenAI client", () => {
  const expected = EngineAnswer.create({
    model: "m",
    prompt: PROMPT,
    maxTokens: 100,
  }).getText();
  let system: System;
  let client: OpenAI;

  beforeAll(async () => {
    system = await startSystem();
    client = new OpenAI({ baseURL: system.baseURL, apiKey: "web-key" });
  });

  afterAll(() => system.stop());

  it("lists models", async () => {
    const models = await client.models.list();
    expect(models.data.map((model) => model.id)).toEqual(["m"]);
  });

  it("receives a buffered completion with the request's id", async () => {
    const { data, response } = await client.completions
      .create({ model: "m", prompt: PROMPT }).withResponse();
    expect(data.choices[0]?.text).toBe(expected);
    expect(response.headers.get("x-request-id")).toBe(data.id);
  });

  it("streams a completion", async () => {
    const stream = await client.completions.create({
      model: "m",
      prompt: PROMPT,
      stream: true,
    });
    let text = "";
    for await (const event of stream) text += event.choices[0]?.text ?? "";
    expect(text).toBe(expected);
  });

  it("streams a chat with its token usage", async () => {
    const stream = await client.chat.completions.create({
      model: "m",
      messages: [{ role: "user", content: PROMPT }],
      stream: true,
      stream_options: { include_usage: true },
    });
    let text = "";
    let tokens: number | undefined;
    for await (const event of stream) {
      text += event.choices[0]?.delta.content ?? "";
      tokens = event.usage?.completion_tokens ?? tokens;
    }
    expect(text).not.toBe("");
    expect(tokens).toBe(30);
  });

  it("receives a buffered chat", async () => {
    const answer = await client.chat.completions.create({
      model: "m",
      messages: [{ role: "user", content: PROMPT }],
    });
    expect(answer.choices[0]?.message.content).toBeTruthy();
    expect(answer.choices[0]?.finish_reason).toBe("stop");
  });

  it("maps refusals to its own errors", async () => {
    const { baseURL } = system;
    const unauthorized = new OpenAI({ baseURL, apiKey: "wrong-key" });
    const error = await unauthorized.models.list().catch((thrown) => thrown);
    expect(error).toBeInstanceOf(OpenAI.AuthenticationError);
    expect(error).toMatchObject({
      status: 401,
      code: "unauthorized",
      type: "authentication_error",
    });
    expect(error.requestID).toBeTruthy();
  });
});
