/**
 * A rolling restart, one machine a second. Clients that can't obtain a new list
 * of addresses keep the old one, as the pages say, and so send requests to a
 * machine more than 3 s after its SIGTERM. The machine takes them for 0.3 s
 * more and cuts those that last longer than the rest of its grace period.
 *
 * @module
 */
import http from "node:http";
import { writeFileSync } from "node:fs";
import process from "node:process";
import {
  CONFIGURATION,
  Fleet,
  GRACE_MS,
  HOST,
  KEY,
  Replica,
  sendCall,
  sleep,
} from "./stand_ins.js";

const isTroubled = process.env.TROUBLE !== "0";
/** A machine is stopped each second, which is the pause in the site's days. */
const STEP_MS = 1_000;
/** Until when after SIGTERM the rule excuses a cut at the end of the grace. */
const EXCUSED_SENT_MS = 3_000;
/** The rule covers cuts until 1 s after `grace-s`. */
const COVERED_MS = GRACE_MS + 1_000;
/** 72 events with pauses of 140 ms; the sheet allows pauses of 150 ms. */
const STREAM = { events: 72, eventGapMs: 140 };
const CHAT_TIMEOUT_MS = 15_000;
const LOOKUP_TIMEOUT_MS = 1_500;
/** Those that keep streams in flight, and those that mostly look up. */
const STREAMING_CLIENTS = 320;
const MIXED_CLIENTS = 120;
const CHAT_SHARE = { streaming: 0.9, mixed: 0.15 };
const PAUSE_MS = { streaming: 20, mixed: 100 };
/** From then on, the others open chats too. */
const MIXED_CHATS_FROM_MS = 6_500;
/** One client in four keeps an answer three times as long as its `ttl-s`. */
const LONG_KEEPING_ONE_IN = 4;
const WARM_UP_MS = 9_000;
const OVERALL_MS = 110_000;

const startedAt = Date.now();
const lines = [];
const requests = [];
const fleet = new Fleet();
let isEnding = false;
/** When the first machine is stopped, in milliseconds from the start. */
let rollingFrom = Infinity;
let lastId = 0;

function note(text) {
  lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} s  ${text}`);
}

function end(code) {
  writeFileSync(
    new URL("record.txt", import.meta.url),
    `${lines.join("\n")}\n`,
  );
  fleet.end();
  process.exit(code);
}

/** Up to three nodes, the nearest first; undefined if none names an address. */
async function fetchAddresses(client) {
  for (const vm of client.nearest.slice(0, 3)) {
    const address = { host: vm.host, port: fleet.ports.directory };
    const path = `/api/resolve?name=${HOST}&region=r1&zone=${client.zone}`;
    const answer = await sendCall(address, { path, timeoutMs: 1_000 });
    if (answer.status !== 200 || !answer.isComplete) continue;
    const { addresses, "ttl-s": ttlS } = JSON.parse(answer.text);
    if (addresses?.length > 0) return { addresses, ttlS };
  }
  return undefined;
}

function createClient(number, kind) {
  const zone = `z${1 + number % 4}`;
  const isOwnZone = (vm) => vm.zone === zone;
  const others = fleet.vms.filter((vm) => !isOwnZone(vm))
    .toSorted((left, right) =>
      Math.abs(left.number - 2 * (number % 4)) -
      Math.abs(right.number - 2 * (number % 4))
    );
  return {
    kind,
    zone,
    nearest: [...fleet.vms.filter(isOwnZone), ...others],
    keepFactor: number % (4 * LONG_KEEPING_ONE_IN) < 4 ? 3 : 1,
    addresses: [],
    until: -Infinity,
    agents: new Map(),
    failed: new Set(),
  };
}

async function updateAddresses(client) {
  if (Date.now() < client.until) return;
  const found = await fetchAddresses(client);
  if (found === undefined) return;
  client.addresses = found.addresses;
  client.until = Date.now() + 1_000 * client.keepFactor * found.ttlS;
  client.failed.clear();
  for (const address of client.agents.keys()) {
    if (!found.addresses.includes(address)) client.agents.delete(address);
  }
}

function pickAddress(client) {
  const usable = client.addresses.filter((each) => !client.failed.has(each));
  return usable[Math.floor(Math.random() * usable.length)];
}

function findAgent(client, address) {
  const agent = client.agents.get(address) ??
    new http.Agent({ keepAlive: true, maxSockets: 1 });
  client.agents.set(address, agent);
  return agent;
}

function canChat({ kind }) {
  const rollingMs = Date.now() - startedAt - rollingFrom;
  return kind === "streaming" || rollingMs > MIXED_CHATS_FROM_MS;
}

async function sendRequest(client, address) {
  const vm = fleet.vms.find(({ host }) => address.startsWith(`${host}:`));
  const isChat = canChat(client) && Math.random() < CHAT_SHARE[client.kind];
  const timeoutMs = isChat ? CHAT_TIMEOUT_MS : LOOKUP_TIMEOUT_MS;
  lastId += 1;
  const id = lastId.toString(16).padStart(16, "0");
  const request = { id, vm, sentAt: Date.now(), termAt: vm.termAt, timeoutMs };
  requests.push(request);
  note(`${id} ${isChat ? "chat" : "lookup"} is sent to ${vm.name}`);
  const answer = await sendCall(vm.front, {
    method: isChat ? "POST" : "GET",
    path: isChat ? "/chat/1" : "/lookup/1",
    headers: {
      host: HOST,
      authorization: `Bearer ${KEY}`,
      "x-request-id": id,
      "x-timeout-ms": String(timeoutMs),
      ...(isChat ? { "x-model": "m", "x-token-count": "826,292" } : {}),
    },
    body: isChat ? "x".repeat(1_700) : undefined,
    agent: findAgent(client, address),
    timeoutMs,
  });
  Object.assign(request, answer, { endedAt: Date.now() });
  note(
    `${id} gets ${answer.status ?? "no answer"}, ${
      answer.isComplete ? "whole" : "cut"
    }`,
  );
  if (answer.status === undefined) client.failed.add(address);
}

async function runClient(client) {
  await sleep(Math.random() * (WARM_UP_MS - 1_000));
  while (!isEnding) {
    await updateAddresses(client);
    const address = pickAddress(client);
    if (address === undefined) client.failed.clear();
    else await sendRequest(client, address);
    await sleep(PAUSE_MS[client.kind]);
  }
}

function listRuns({ id }) {
  return fleet.replicas.map(({ runs }) => runs.get(id))
    .filter((run) => run !== undefined);
}

/** Whether the rule LOST counts the request; `termAt` is its machine's. */
function isLost(request) {
  const { vm, sentAt, endedAt, isComplete, timeoutMs } = request;
  const runs = listRuns(request);
  if (endedAt === undefined || isComplete || runs.length === 0) return false;
  const termAt = request.termAt ?? vm.termAt;
  if (termAt === undefined || endedAt < termAt) return false;
  if (endedAt > termAt + COVERED_MS) return false;
  if (endedAt >= sentAt + timeoutMs) return false;
  const workedUntil = Math.max(...runs.map(({ to = Infinity }) => to));
  const isAtWorkLate = workedUntil >= termAt + GRACE_MS * 5 / 6;
  const isExcused = isAtWorkLate && sentAt <= termAt + EXCUSED_SENT_MS;
  return !isExcused;
}

function writeRuns() {
  for (const { id, runs } of fleet.replicas) {
    for (const [request, { from, to, isWhole }] of runs) {
      const at = (from - startedAt) / 1_000;
      const forMs = to === undefined ? "?" : to - from;
      lines.push(
        `${at.toFixed(3)} s  ${request} is run by ${id} for ${forMs} ms, ${
          isWhole ? "to its end" : "cut"
        }`,
      );
    }
  }
}

async function runCase() {
  for (let number = 0; number < 8; number++) {
    const [service, options] = number < 4
      ? ["llm", { slots: 64, ...STREAM }]
      : ["app", { slots: 6, workMs: 40 }];
    const zone = `z${1 + number % 4}`;
    const replica = new Replica(`i-${number}`, service, { zone, ...options });
    fleet.replicas.push(replica);
  }
  await fleet.start(CONFIGURATION);
  note("all daemons are ready");
  const count = STREAMING_CLIENTS + MIXED_CLIENTS;
  const clients = Array.from(
    { length: count },
    (_, number) =>
      createClient(number, number < STREAMING_CLIENTS ? "streaming" : "mixed"),
  );
  const running = clients.map(runClient);
  await sleep(WARM_UP_MS);
  rollingFrom = Date.now() - startedAt;
  for (const vm of fleet.vms) {
    if (isTroubled) vm.restart(note);
    await sleep(STEP_MS);
  }
  await sleep(COVERED_MS);
  isEnding = true;
  await Promise.race([Promise.all(running), sleep(CHAT_TIMEOUT_MS)]);
  writeRuns();
  const lost = requests.filter(isLost);
  for (const { id, vm, sentAt, endedAt, termAt } of lost) {
    const sentMs = sentAt - termAt;
    const cutMs = endedAt - termAt;
    note(
      `LOST ${id}: sent ${sentMs} ms after the SIGTERM of ${vm.name}, ` +
        `cut ${cutMs} ms after it`,
    );
  }
  const whole = requests.filter(({ isComplete }) => isComplete).length;
  note(`${requests.length} requests, ${whole} whole, ${lost.length} LOST`);
  console.log(lines.slice(-1 - lost.length).join("\n"));
  end(lost.length > 0 ? 1 : 0);
}

setTimeout(() => {
  note("the case took too long");
  end(2);
}, OVERALL_MS).unref();
process.on("SIGTERM", () => end(2));
process.on("SIGINT", () => end(2));
try {
  await runCase();
} catch (thrown) {
  note(`the case could not run: ${thrown.stack}`);
  console.error(thrown);
  end(2);
}
