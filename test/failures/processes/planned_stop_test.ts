import http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { beforeAll, expect, it, onTestFinished } from "vitest";
import type { TestAnswer } from "../../platform/test_call.ts";
import { ProcessorQuota } from "../../soak/at_size/processor_quota.ts";
import type { SoakVm } from "../../soak/soak_vm.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";

const VMS = 4;
const REPLICAS = 3;
const CALLERS = 12;
const PATHS = ["/safe/x", "/unsafe/x", "/stream/x", "/restream/x"];
const CALM_MS = 2_000;
/** Replicas turn slow so long after the signal. */
const SLOW_AFTER_MS = 300;
const PAUSE_MS = 20;
/** Callers may use the address of the daemon for all of its grace period. */
const DIRECTORY_TTL_MS = 1_000;

/** One of the planned stops that are tried. */
interface PlannedStop {
  /** From the signal to its end a daemon has this time. */
  graceMs: number;
  /** Daemons that are stopped, each so long after the one before. */
  stops: number;
  gapMs: number;
  /** Share of its time for which a daemon runs. */
  share: number;
}

const STOPS: PlannedStop[] = [
  { graceMs: 2_000, stops: 1, gapMs: 0, share: 1 },
  { graceMs: 8_000, stops: 1, gapMs: 0, share: 1 },
  { graceMs: 8_000, stops: 3, gapMs: 1_000, share: 1 },
  { graceMs: 2_000, stops: 3, gapMs: 3_000, share: 1 },
  { graceMs: 8_000, stops: 3, gapMs: 2_000, share: 0.675 },
];

interface Sent {
  id: string;
  path: string;
  answer: TestAnswer;
}

beforeAll(buildDaemon);

/** Sends one request after the other over one connection until told to stop. */
async function runCaller(
  fleet: PlatformProcesses,
  options: { vm: SoakVm; path: string; name: string; until: () => boolean },
): Promise<Sent[]> {
  const { vm, path, name, until } = options;
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  onTestFinished(() => agent.destroy());
  const sent: Sent[] = [];
  for (let number = 0; !until(); number++) {
    const id = `${name}-${number}`;
    const headers = { "x-request-id": id };
    const answer = await fleet.send(vm, path, { agent, headers });
    sent.push({ id, path, answer });
    await sleep(PAUSE_MS);
  }
  return sent;
}

/** Stops daemons by SIGTERM one after the other, and waits for their ends. */
async function runStops(
  vms: readonly SoakVm[],
  { graceMs, gapMs }: PlannedStop,
): Promise<void> {
  const ends = vms.map(async (vm, index) => {
    await sleep(index * gapMs);
    vm.send("SIGTERM");
    const kill = setTimeout(() => vm.send("SIGKILL"), graceMs);
    await vm.waitEnd();
    clearTimeout(kill);
  });
  await Promise.all(ends);
}

// Guards against requests that are taken late in the grace period of a planned
// stop, passed on, and cut at its end without an answer.
it.each(STOPS)(
  "daemons that are stopped in calm cut nothing that they passed on, %o",
  async (plan) => {
    const fleet = await PlatformProcesses.create();
    for (let index = 1; index <= REPLICAS; index++) {
      await fleet.addReplica(`i-${index}`);
    }
    await fleet.addVms(VMS, {
      directoryTtlMs: DIRECTORY_TTL_MS,
      drainGraceMs: plan.graceMs,
    });
    const stopped = fleet.vms.slice(0, plan.stops);
    const callers = Array.from({ length: CALLERS * plan.stops }, (_, index) => {
      const vm = stopped[index % plan.stops]!;
      return runCaller(fleet, {
        vm,
        path: PATHS[Math.floor(index / plan.stops) % PATHS.length]!,
        name: `caller-${index}`,
        until: () => vm.hasEnded,
      });
    });
    const quota = ProcessorQuota.create(fleet.vms, plan.share);
    const limited = quota.run();
    await sleep(CALM_MS);
    const stops = runStops(stopped, plan);
    await sleep(SLOW_AFTER_MS);
    for (const replica of fleet.replicas) replica.mode = "slow";
    await stops;
    quota.end();
    await limited;
    const sent = (await Promise.all(callers)).flat();

    const ran = new Set(
      fleet.replicas.flatMap((replica) =>
        replica.ran.map(({ headers }) => headers["x-request-id"])
      ),
    );
    const cut = sent.filter(({ id, answer }) => ran.has(id) && !answer.isWhole);
    expect(cut.map(({ id, path }) => `${id} ${path}`)).toEqual([]);
    const failed = sent.filter(({ id, path, answer }) =>
      ran.has(id) && path === "/unsafe/x" && answer.status !== 200
    );
    expect(failed.map(({ id, answer }) => `${id} ${answer.status}`))
      .toEqual([]);
    expect(sent.length).toBeGreaterThan(CALLERS);
  },
);
