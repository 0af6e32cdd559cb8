import { setTimeout as sleep } from "node:timers/promises";
import { beforeAll, describe, expect, it, onTestFinished } from "vitest";
import type { TestAnswer } from "../../platform/test_call.ts";
import type { SoakVm } from "../../soak/soak_vm.ts";
import { PeerCut } from "../../support/peer_cut.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";
import { Relay } from "../../support/relay.ts";

const PATH = "/retake/stream";
const EVENT = /id: (\d+)\ndata: (\S+)\n\n/g;
/** Versions are remembered for so long. */
const HISTORY_MS = 31_000;
const VMS = 3;
const STREAMS = 72;
const BEGIN_AFTER_MS = 300;
const LEAVE_AFTER_MS = 900;
const OUT_OF_STEP_MS = 2_000;
/** Take-ups are sent from here on, counted from the start of the fault. */
const TAKE_UP_AFTER_MS = 1_400;
const TAKE_UP_EVERY_MS = 25;
const RETRIES = 8;

/** A stream that broke. */
interface Begun {
  id: string;
  number: number;
  version: string;
  events: number;
}

/** A VM that is out of step for some time. */
interface OutOfStep {
  vm: SoakVm;
  start: () => void;
  end: () => void;
}

interface Scene {
  fleet: PlatformProcesses;
  others: SoakVm[];
  outOfStep: OutOfStep[];
}

beforeAll(buildDaemon);

/** A VM whose datagrams are lost and whose calls to the store hang or fail. */
async function addCutVm(
  fleet: PlatformProcesses,
  peers: PeerCut,
  mode: "swallow" | "refuse",
): Promise<OutOfStep> {
  const relay = await Relay.create(fleet.store.port);
  onTestFinished(() => relay.close());
  await fleet.addVms(1, { storePort: relay.port, peers });
  const vm = fleet.vms.at(-1)!;
  return {
    vm,
    start: () => {
      peers.start(vm.name);
      relay.setModeOfNew(mode);
      if (mode === "swallow") relay.setModeOfOpen("swallow");
      else relay.destroyOpen({ reset: true });
    },
    end: () => {
      relay.setModeOfNew("pass");
      relay.destroyOpen({ reset: true });
      peers.stop(vm.name);
    },
  };
}

async function createScene(): Promise<Scene> {
  const fleet = await PlatformProcesses.create();
  for (const id of ["v1-1", "v1-2"]) await addVersion(fleet, id);
  await fleet.addVms(VMS);
  const others = [...fleet.vms];
  const peers = await PeerCut.create(fleet.directory);
  const outOfStep = [
    await addCutVm(fleet, peers, "swallow"),
    await addCutVm(fleet, peers, "refuse"),
  ];
  await fleet.addVms(1);
  const vm = fleet.vms.at(-1)!;
  outOfStep.push({
    vm,
    start: () => vm.send("SIGSTOP"),
    end: () => vm.send("SIGCONT"),
  });
  await sleep(HISTORY_MS);
  return { fleet, others, outOfStep };
}

/** Adds a replica that breaks off each stream that it begins. */
async function addVersion(
  fleet: PlatformProcesses,
  id: string,
): Promise<void> {
  const replica = await fleet.addReplica(id, { version: id.slice(0, 2) });
  replica.isBroken = ({ headers }) => headers["last-event-id"] === undefined;
}

function listVersions({ body }: TestAnswer): string[] {
  return [...body.matchAll(EVENT)].map(([, , replica]) => replica!.slice(0, 2));
}

/** A prompt whose last part belongs to one stream alone. */
function buildPrompt(number: number): Record<string, string> {
  const part = number.toString(16).padStart(4, "0");
  return {
    "x-token-count": "9,60",
    "x-prompt-prefix": `5ca1e:5,${part}:4`,
  };
}

async function startStream(
  { fleet, others }: Scene,
  number: number,
): Promise<Begun | undefined> {
  const id = `stream-${number}`;
  const answer = await fleet.send(others[number % VMS]!, PATH, {
    body: id,
    headers: { "x-request-id": id, ...buildPrompt(number) },
  });
  const versions = listVersions(answer);
  const [version] = versions;
  if (version === undefined) return undefined;
  return { id, number, version, events: versions.length };
}

/** Takes a stream up, again where it is refused; returns the versions of it. */
async function takeUp(
  { fleet, outOfStep }: Scene,
  { id, number, events }: Begun,
): Promise<string[]> {
  const { vm } = outOfStep[number % outOfStep.length]!;
  // Every other caller does not name its stream.
  const name: Record<string, string> =
    Math.floor(number / outOfStep.length) % 2 === 0 ? { resumes: id } : {};
  for (let attempt = 0; attempt < RETRIES; attempt++) {
    const answer = await fleet.send(vm, PATH, {
      body: id,
      headers: {
        "x-request-id": `${id}-${attempt}`,
        "last-event-id": String(events),
        ...buildPrompt(number),
        ...name,
      },
    });
    if (answer.status === 200) return listVersions(answer);
    await sleep(1_000 * Number(answer.headers["retry-after"] ?? 0.1));
  }
  return [];
}

interface Outcome {
  begun: Begun;
  versions: string[];
}

/** Runs the fault, during which the replicas `joining` are listed. */
async function runFault(
  joining: readonly string[],
  options: { leave: boolean },
): Promise<Outcome[]> {
  const scene = await createScene();
  const { fleet, outOfStep } = scene;
  outOfStep.forEach(({ start }) => start());
  const startedAt = performance.now();
  const waitFor = (ms: number) =>
    sleep(Math.max(0, startedAt + ms - performance.now()));
  for (const id of joining) await addVersion(fleet, id);
  await waitFor(BEGIN_AFTER_MS);
  const numbers = Array.from({ length: STREAMS }, (_, number) => number);
  const begun = (await Promise.all(
    numbers.map((number) => startStream(scene, number)),
  )).filter((each) => each !== undefined);
  await waitFor(LEAVE_AFTER_MS);
  if (options.leave) {
    for (const id of joining) fleet.store.remove(`servers/${id}`);
  }
  const ended = waitFor(OUT_OF_STEP_MS)
    .then(() => outOfStep.forEach(({ end }) => end()));
  const outcomes = await Promise.all(begun.map(async (each, number) => {
    await waitFor(TAKE_UP_AFTER_MS + number * TAKE_UP_EVERY_MS);
    return { begun: each, versions: await takeUp(scene, each) };
  }));
  await ended;
  return outcomes;
}

function countMixed(outcomes: readonly Outcome[]): number {
  return outcomes.filter(({ begun, versions }) =>
    versions.some((each) => each !== begun.version)
  ).length;
}

/** Streams of a version that went on, and all of them. */
function countOf(
  outcomes: readonly Outcome[],
  version: string,
): { wentOn: number; all: number } {
  const begun = outcomes.filter((each) => each.begun.version === version);
  const wentOn = begun.filter(({ versions }) => versions.length > 0);
  return { wentOn: wentOn.length, all: begun.length };
}

describe("VMs that are out of step while a version joins", () => {
  const joining = ["v2-1", "v2-2"];

  // Guards against streams of that version that are taken up at a VM which never
  // heard of it, and go on at the only version that the VM knows.
  it("join no streams if it leaves again", async () => {
    const outcomes = await runFault(joining, { leave: true });
    expect(countOf(outcomes, "v2").all).toBeGreaterThan(STREAMS / 8);
    expect(countMixed(outcomes)).toBe(0);
    const { wentOn, all } = countOf(outcomes, "v1");
    expect(wentOn).toBe(all);
  });

  it("join no streams if it stays", async () => {
    const outcomes = await runFault(joining, { leave: false });
    expect(countMixed(outcomes)).toBe(0);
    for (const version of ["v1", "v2"]) {
      const { wentOn, all } = countOf(outcomes, version);
      expect(wentOn).toBe(all);
    }
  });

  // Guards against streams that are refused where there is nothing to mix.
  it("go on with all streams if none joins", async () => {
    const outcomes = await runFault([], { leave: false });
    expect(countOf(outcomes, "v1")).toEqual({ wentOn: STREAMS, all: STREAMS });
  });
});
