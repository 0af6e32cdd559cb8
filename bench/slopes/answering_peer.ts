/**
 * The server side of the socket benchmarks: a peer listener and an engine's
 * reports. Runs in its own process, so that the processor time of each end can
 * be measured. Sends its ports at the start, and its processor time for each
 * message.
 *
 * @module
 */
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import process from "node:process";
import { PeerListener } from "../../src/connection/index.ts";
import { toId } from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import type { PeerApi, ProbeAnswer } from "../../src/process/peer_api.ts";
import { buildSummaries, PEER_SECRET } from "./peer_messages.ts";

const HOST = "127.0.0.1";

/** First message of this process: its ports. */
export interface AnsweringPorts {
  peers: number;
  engine: number;
}

/** Answer to each message. */
export interface AnsweringUsage {
  /** Processor time so far, in microseconds. */
  processor: number;
}

await main();

async function main(): Promise<void> {
  const listener = PeerListener.create({
    secret: PEER_SECRET,
    api: buildApi(),
    log: SilentLog.create(),
  });
  await listener.start(HOST, 0);
  const engine = createServer((request, response) => {
    sendReport(request.url ?? "", response);
  });
  await new Promise<void>((resolve) => engine.listen(0, HOST, resolve));
  const ports: AnsweringPorts = {
    peers: listener.port,
    engine: (engine.address() as AddressInfo).port,
  };
  process.on("message", () => {
    const { user, system } = process.cpuUsage();
    process.send?.({ processor: user + system } satisfies AnsweringUsage);
  });
  process.on("disconnect", () => process.exit(0));
  process.send?.(ports);
}

function buildApi(): PeerApi {
  const api = {
    acquire: () =>
      Promise.resolve({
        kind: "granted",
        lease: {
          lease: toId("models-3/12:entry-217:0f3a9c1b-48123"),
          shard: toId("models-3/12"),
          upstream: toId("engine-1482"),
          ttlMs: 3_000,
          priority: 2,
          byOwner: true,
        },
      }),
    syncLeases: () => Promise.resolve({ isOwner: true, preempt: [] }),
    probe: (call: { summaries: unknown[] }): Promise<ProbeAnswer> =>
      Promise.resolve({
        from: { vm: toId("entry-217"), incarnation: toId("9f86d081884c7d65") },
        counter: 0,
        draining: false,
        members: [],
        summaries: buildSummaries(call.summaries.length),
        configVersion: 1_234_567,
        configDigest: "9f86d081884c7d65",
        listRevision: 123_456,
        listAgeMs: 1_234,
      }),
    leaseLimit: () =>
      Promise.resolve({
        isOwner: true,
        requests: 4,
        tokens: 2_000,
        ttlMs: 5_000,
        retryAfterMs: 0,
      }),
    claimRun: () => Promise.resolve({ kind: "granted", ttlMs: 300_000 }),
  };
  return api as unknown as PeerApi;
}

/** Answers `/v1/load`, and `/v1/cache/events` with `after` events. */
function sendReport(url: string, response: ServerResponse): void {
  const { pathname, searchParams } = new URL(url, `http://${HOST}`);
  const count = Number(searchParams.get("after") ?? 0);
  const value = pathname === "/v1/load" ? buildLoad() : buildEvents(count);
  response.writeHead(200, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}

function buildLoad(): object {
  return {
    age_ms: 412,
    running: 14,
    waiting: 2,
    cache_used: 0.71,
    leaving: false,
    models: [{ model: "model-3", version: "2026-11", adapters: [] }],
    role: "both",
    fencing: 123_456,
    cache_sequence: 1_482_311,
  };
}

function buildEvents(count: number): object {
  const events = Array.from({ length: count }, (_, index) => ({
    sequence: 1_482_311 + index,
    prefix: (0x9f86d081884c + index).toString(16).padStart(16, "0"),
    change: index % 2 === 0 ? "stored" : "evicted",
  }));
  return { events };
}
