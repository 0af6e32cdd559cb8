/**
 * Slopes of calls over sockets on loopback: processor time at both ends, and
 * bytes including headers.
 *
 * @module
 */
import { type ChildProcess, fork } from "node:child_process";
import process from "node:process";
import {
  HttpUpstreamTransport,
  TrpcPeerDirectory,
} from "../../src/connection/index.ts";
import { toId, type VmId } from "../../src/ids.ts";
import { SystemClock } from "../../src/process/clock.ts";
import { SilentLog } from "../../src/process/log.ts";
import type { PeerApi } from "../../src/process/peer_api.ts";
import type { AnsweringPorts, AnsweringUsage } from "./answering_peer.ts";
import { ByteRelay } from "./byte_relay.ts";
import {
  buildAcquire,
  buildLimitCall,
  buildProbe,
  buildSync,
  PEER_SECRET,
} from "./peer_messages.ts";
import { buildSlope, computeMedian, type Point, type Slope } from "./slope.ts";

const HOST = "127.0.0.1";
const CALLS = 600;
const ROUNDS = 5;
const WARM_UP_CALLS = 3_000;
/** Concurrent calls, unless the size is the concurrency itself. */
const CONCURRENCY = 4;
const CONCURRENCY_SIZES = [1, 2, 4, 8];
const CALLS_FOR_BYTES = 50;
const LEASES = [0, 1, 4, 16, 64];
const PREFIXES = [0, 4, 8, 16];
const SUMMARIES = [0, 2, 4, 6];
const EVENTS = [0, 8, 32, 128];
const CONCURRENCY_LABEL = "calls at once";
const PEER = toId<VmId>("entry-300");
const ENGINE = toId<VmId>("engine-1");

type Call = () => Promise<unknown>;

/** Cost of a call: µs at each end, and bytes. */
interface CallCost {
  client: number;
  server: number;
  bytes: number;
}

/** Measures every kind of call. */
export async function collectPeerSlopes(): Promise<Slope[]> {
  const child = fork(`${import.meta.dirname}/answering_peer.ts`, {
    execArgv: ["--import", "tsx"],
  });
  try {
    const ports = await readMessage<AnsweringPorts>(child);
    const bench = await CallBench.create(child, ports);
    await bench.runWarmUp();
    const slopes = [
      ...await bench.collectCalls("acquire", PREFIXES, {
        size: "prompt prefixes",
        build: (peer, size) => () => peer.acquire(buildAcquire(size)),
      }),
      ...await bench.collectCalls("sync", LEASES, {
        size: "leases named",
        build: (peer, size) => () => peer.syncLeases(buildSync(size)),
      }),
      ...await bench.collectCalls("probe", SUMMARIES, {
        size: "summaries each way",
        build: (peer, size) => () => peer.probe(buildProbe(size)),
      }),
      ...await bench.collectCalls("limit call", CONCURRENCY_SIZES, {
        size: CONCURRENCY_LABEL,
        build: (peer) => () => peer.leaseLimit(buildLimitCall()),
      }),
      ...await bench.collectReports("load report", CONCURRENCY_SIZES, {
        size: CONCURRENCY_LABEL,
        build: (transport) => () => transport.fetchLoad(ENGINE),
      }),
      ...await bench.collectReports("cache events", EVENTS, {
        size: "events",
        build: (transport, size) => () =>
          transport.fetchCacheEvents(ENGINE, size),
      }),
    ];
    bench.close();
    return slopes;
  } finally {
    child.kill();
  }
}

class CallBench {
  readonly #child: ChildProcess;
  readonly #ports: AnsweringPorts;
  readonly #peers: ByteRelay;
  readonly #engine: ByteRelay;

  constructor(
    child: ChildProcess,
    options: { ports: AnsweringPorts; peers: ByteRelay; engine: ByteRelay },
  ) {
    this.#child = child;
    this.#ports = options.ports;
    this.#peers = options.peers;
    this.#engine = options.engine;
  }

  static async create(
    child: ChildProcess,
    ports: AnsweringPorts,
  ): Promise<CallBench> {
    const peers = await ByteRelay.create(ports.peers);
    const engine = await ByteRelay.create(ports.engine);
    return new CallBench(child, { ports, peers, engine });
  }

  close(): void {
    this.#peers.close();
    this.#engine.close();
  }

  /**
   * Warms up both ends, so that their code is compiled before the measurement.
   */
  async runWarmUp(): Promise<void> {
    const directory = createDirectory(this.#ports.peers);
    const transport = createTransport(this.#ports.engine);
    const peer = directory.getPeer(PEER);
    const calls = [
      () => peer.acquire(buildAcquire(4)),
      () => peer.syncLeases(buildSync(4)),
      () => peer.probe(buildProbe(4)),
      () => transport.fetchLoad(ENGINE),
    ];
    for (const call of calls) await runCalls(call, WARM_UP_CALLS, CONCURRENCY);
    directory.close();
    transport.close();
  }

  async collectCalls(
    name: string,
    sizes: readonly number[],
    options: { size: string; build: (peer: PeerApi, size: number) => Call },
  ): Promise<Slope[]> {
    const { size, build } = options;
    const direct = createDirectory(this.#ports.peers);
    const counted = createDirectory(this.#peers.port);
    const slopes = await this.#collectAll(name, sizes, {
      size,
      relay: this.#peers,
      build: (one) => ({
        direct: build(direct.getPeer(PEER), one),
        counted: build(counted.getPeer(PEER), one),
      }),
    });
    direct.close();
    counted.close();
    return slopes;
  }

  async collectReports(
    name: string,
    sizes: readonly number[],
    options: {
      size: string;
      build: (transport: HttpUpstreamTransport, size: number) => Call;
    },
  ): Promise<Slope[]> {
    const { size, build } = options;
    const direct = createTransport(this.#ports.engine);
    const counted = createTransport(this.#engine.port);
    const slopes = await this.#collectAll(name, sizes, {
      size,
      relay: this.#engine,
      build: (one) => ({
        direct: build(direct, one),
        counted: build(counted, one),
      }),
    });
    direct.close();
    counted.close();
    return slopes;
  }

  async #collectAll(
    name: string,
    sizes: readonly number[],
    options: {
      size: string;
      relay: ByteRelay;
      build: (size: number) => { direct: Call; counted: Call };
    },
  ): Promise<Slope[]> {
    const costs: [number, CallCost][] = [];
    for (const size of sizes) {
      const { direct, counted } = options.build(size);
      const concurrency = options.size === CONCURRENCY_LABEL
        ? size
        : CONCURRENCY;
      const times = await this.#countTimes(direct, concurrency);
      const bytes = await countBytes(counted, options.relay);
      costs.push([size, { ...times, bytes }]);
    }
    const build = (part: keyof CallCost, unit: string): Slope => {
      const points = costs.map(([size, cost]): Point => [size, cost[part]]);
      return buildSlope(`${name}: ${part}`, points, {
        size: options.size,
        unit,
      });
    };
    return [
      build("client", "µs a call"),
      build("server", "µs a call"),
      build("bytes", "bytes a call, both ways"),
    ];
  }

  async #countTimes(
    call: Call,
    concurrency: number,
  ): Promise<Omit<CallCost, "bytes">> {
    const client: number[] = [];
    const server: number[] = [];
    await runCalls(call, CALLS, concurrency);
    for (let round = 0; round < ROUNDS; round++) {
      const serverBefore = await this.#fetchUsage();
      const before = process.cpuUsage();
      await runCalls(call, CALLS, concurrency);
      const { user, system } = process.cpuUsage(before);
      client.push((user + system) / CALLS);
      server.push((await this.#fetchUsage() - serverBefore) / CALLS);
    }
    return { client: computeMedian(client), server: computeMedian(server) };
  }

  async #fetchUsage(): Promise<number> {
    const answer = readMessage<AnsweringUsage>(this.#child);
    this.#child.send("usage");
    return (await answer).processor;
  }
}

async function runCalls(
  call: Call,
  count: number,
  concurrency: number,
): Promise<void> {
  let left = count;
  const run = async () => {
    while (left > 0) {
      left -= 1;
      await call();
    }
  };
  await Promise.all(Array.from({ length: concurrency }, run));
}

async function countBytes(call: Call, relay: ByteRelay): Promise<number> {
  await call();
  const before = relay.bytes;
  for (let count = 0; count < CALLS_FOR_BYTES; count++) await call();
  return (relay.bytes - before) / CALLS_FOR_BYTES;
}

function createDirectory(port: number): TrpcPeerDirectory {
  return TrpcPeerDirectory.create({
    clock: SystemClock.create(),
    secret: PEER_SECRET,
    from: toId<VmId>("entry-217"),
    findAddress: () => ({ address: HOST, port }),
  });
}

function createTransport(port: number): HttpUpstreamTransport {
  return HttpUpstreamTransport.create({
    clock: SystemClock.create(),
    log: SilentLog.create(),
    findAddress: () => ({ address: HOST, port }),
  });
}

function readMessage<T>(child: ChildProcess): Promise<T> {
  return new Promise((resolve, reject) => {
    const onExit = () => reject(new Error("The peer process exited"));
    child.once("exit", onExit);
    child.once("message", (message) => {
      child.off("exit", onExit);
      resolve(message as T);
    });
  });
}
