/**
 * Daemons, callers and faults of a soak at size.
 *
 * @module
 */
import http from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChildProcessGroup } from "../../../demo/child_process_group.ts";
import { findFreePorts } from "../../../demo/free_ports.ts";
import { toId, type VmId } from "../../../src/ids.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { computeRendezvousOrder } from "../../../src/process/rendezvous.ts";
import { listPartitionOwners } from "../../../src/process/seeded_fleet/pool_owners.ts";
import { HOST } from "../../platform/configurations.ts";
import { sendCall, type TestAnswer } from "../../platform/test_call.ts";
import { Relay, type RelayMode } from "../../support/relay.ts";
import { listEventReplicas, SOAK_ROUTES } from "../soak_callers.ts";
import { LINK_CUTS } from "../../support/cuttable_links.ts";
import {
  LinkControl,
  listBadCuts,
  type ObservedRequest,
} from "../link_control.ts";
import { PERMANENT_KEY } from "../soak_fleet.ts";
import { getReplicaVersion } from "./versioned_replica.ts";
import { KernelDrops } from "./kernel_drops.ts";
import { ProcessorQuota } from "./processor_quota.ts";
import {
  buildPromptHeaders,
  isHeldByPart,
  POISON_PART,
} from "../prompt_parts.ts";
import { type SoakPorts, SoakVm } from "../soak_vm.ts";

const ZONES = 4;
const SEEDS = [1, 2, 3];
const DRAIN_GRACE_MS = 4_000;
/** A VM is in touch again this long after its last disturbance. */
const STABLE_WINDOW_MS = 4_000;
const CALL_TIMEOUT_MS = 3_000;
const MAX_CONNECTIONS_PER_VM = 8;
const MAX_BACKLOG_MS = 1_000;
const MS_PER_SECOND = 1_000;
const READY_TIMEOUT_MS = 120_000;
const CHECK_INTERVAL_MS = 500;
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 3_000;
/** VMs that watch the store. */
const WATCHERS = 3;
/** Sound requests are answered before the first one that crashes replicas. */
const POISON_AFTER_MS = 5_000;
const CENTRAL_PAUSE_AFTER_MS = 8_000;
const CENTRAL_PAUSE_MS = 15_000;
/** Time until the VMs of a herd are started again. */
const HERD_DOWN_MS = 2_000;
const MAX_CUT_EIGHTHS = 7;
const CUT_MS = 6_000;
const RELAY_MODES: RelayMode[] = ["swallow", "swallow_back", "refuse"];

/** Options of a fleet. */
export interface FleetAtSizeOptions {
  seed: number;
  vms: number;
  requestsPerS: number;
  /** Mean time between two faults; 0 for none. */
  faultGapMs: number;
  /** Time between two herds of VMs that are killed at once; 0 for none. */
  herdGapMs: number;
  /** Share of the VMs that are killed at once. */
  herdShare: number;
  /** Time between two cuts of the links of some VMs; 0 for none. */
  cutGapMs: number;
  /** Share of its time for which a VM runs; 1 for all of it. */
  quotaShare: number;
  /** Time between two requests that crash replicas; 0 for none. */
  poisonGapMs: number;
  /** Whether those that watch the store and place requests are paused once. */
  centralPause: boolean;
}

/** Streams that broke and were taken up at other VMs. */
export interface StreamCounts {
  takenUp: number;
  wentOn: number;
  /** Those with events of two software versions, with their replicas. */
  mixed: string[];
}

/** Where the fleet's processes run. */
export interface FleetPlace {
  directory: string;
  children: ChildProcessGroup;
  links: LinkControl;
}

interface Disturbance {
  from: number;
  to: number;
}

/** All VMs, the requests to them, and their faults. */
export class FleetAtSize {
  readonly vms: SoakVm[] = [];
  readonly statuses: Record<string, number> = {};
  readonly faults: Record<string, number> = {};
  /** Sound requests that were refused since a part is held. */
  readonly heldSound: string[] = [];
  readonly streams: StreamCounts = { takenUp: 0, wentOn: 0, mixed: [] };
  readonly #options: FleetAtSizeOptions;
  readonly #place: FleetPlace;
  readonly #random: SeededRandom;
  readonly #relays: Relay[] = [];
  readonly #disturbances = new Map<SoakVm, Disturbance[]>();
  readonly #agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS_PER_VM,
  });
  readonly #observed: ObservedRequest[] = [];
  readonly #kernelDrops = KernelDrops.create();
  #maxHeldMs = 0;
  #sent = 0;

  constructor(options: FleetAtSizeOptions, place: FleetPlace) {
    this.#options = options;
    this.#place = place;
    this.#random = SeededRandom.create(options.seed);
  }

  static create(options: FleetAtSizeOptions, place: FleetPlace): FleetAtSize {
    return new FleetAtSize(options, place);
  }

  get sent(): number {
    return this.#sent;
  }

  /** Datagrams to VMs that found a full receive buffer. */
  get droppedDatagrams(): number {
    return this.#kernelDrops.sum;
  }

  /** See `ProcessorQuota.maxHeldMs`. */
  get maxHeldMs(): number {
    return this.#maxHeldMs;
  }

  /** Starts the VMs before a store and waits until all of them serve. */
  async start(storePort: number): Promise<void> {
    await this.#addVms(storePort);
    this.vms.forEach((vm) => vm.start());
    await this.#waitServing();
  }

  /** Sends requests and injects faults; requests go on for `settleMs`. */
  async runFor(ms: number, settleMs: number): Promise<void> {
    const until = performance.now() + ms;
    const quota = ProcessorQuota.create(this.vms, this.#options.quotaShare);
    const limited = quota.run();
    this.#kernelDrops.start();
    await Promise.all([
      this.#sendUntil(until + settleMs),
      this.#applyFaultsUntil(until),
      this.#destroyHerdsUntil(until),
      this.#cutLinksUntil(until),
      this.#sendPoisonUntil(until),
      this.#pauseCentralVms(),
    ]);
    this.#kernelDrops.stop();
    quota.end();
    await limited;
    this.#maxHeldMs = Math.round(quota.maxHeldMs);
  }

  /** Whether a VM was undisturbed for a while before a time of day. */
  isInTouch(vm: SoakVm, timeOfDay: number): boolean {
    return !this.#isDisturbed(vm, timeOfDay - performance.timeOrigin);
  }

  /** Cuts under which callers of the VMs concerned were served far worse. */
  listBadCuts(): string[] {
    return listBadCuts(this.#place.links.cuts, this.#observed);
  }

  async close(): Promise<void> {
    this.#agent.destroy();
    for (const relay of this.#relays) await relay.close();
  }

  #isDisturbed(vm: SoakVm, at: number): boolean {
    return this.#disturbances.get(vm)!.some(({ from, to }) =>
      from <= at && to >= at - STABLE_WINDOW_MS
    );
  }

  async #addVms(storePort: number): Promise<void> {
    const names = ["callers", "readiness", "state", "directory", "peers"];
    const free = await findFreePorts(names.length);
    const ports = Object.fromEntries(
      names.map((name, index) => [name, free[index]!]),
    ) as unknown as SoakPorts;
    const net = `127.2.${process.pid % 250}`;
    for (let index = 1; index <= this.#options.vms; index++) {
      const relay = await Relay.create(storePort);
      this.#relays.push(relay);
      const vm = SoakVm.create({
        ...this.#place,
        name: `vm-${index}`,
        address: `${net}.${index}`,
        ports,
        seeds: SEEDS.map((host) => `${net}.${host}:${ports.state}`),
        storePort: relay.port,
        drainGraceMs: DRAIN_GRACE_MS,
        dataCentre: `dc-${1 + index % ZONES}`,
      });
      this.vms.push(vm);
      this.#disturbances.set(vm, []);
    }
  }

  async #waitServing(): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MS;
    let waiting = [...this.vms];
    while (waiting.length > 0) {
      if (performance.now() > until) {
        throw new Error(`${waiting.length} VMs do not serve`);
      }
      const answers = await Promise.all(
        waiting.map((vm) => this.#send(vm, SOAK_ROUTES[0].path)),
      );
      waiting = waiting.filter((_vm, index) => answers[index]!.status !== 200);
      await sleep(CHECK_INTERVAL_MS);
    }
  }

  async #sendUntil(until: number): Promise<void> {
    const gapMs = MS_PER_SECOND / this.#options.requestsPerS;
    let dueAt = performance.now();
    while (performance.now() < until) {
      dueAt = Math.max(dueAt + gapMs, performance.now() - MAX_BACKLOG_MS);
      const vm = this.#random.pick(this.vms)!;
      const route = this.#random.pick(SOAK_ROUTES)!;
      const sentAt = performance.now();
      void this.#sendWithTry(vm, route).then(({ status }) => {
        this.#observed.push({
          vm: vm.name,
          sentAt,
          isServed: status === 200,
          isDisturbed: this.#isDisturbed(vm, sentAt),
        });
        this.statuses[status] = (this.statuses[status] ?? 0) + 1;
      });
      await sleep(Math.max(0, dueAt - performance.now()));
    }
  }

  /** Sends ever new requests with a part that crashes replicas. */
  async #sendPoisonUntil(until: number): Promise<void> {
    const { poisonGapMs } = this.#options;
    if (poisonGapMs === 0) return;
    await sleep(POISON_AFTER_MS);
    while (performance.now() < until) {
      const vm = this.#random.pick(this.vms)!;
      void this.#send(vm, "/restream/x", {}, POISON_PART);
      await sleep(poisonGapMs);
    }
  }

  /** Sends a request, and takes a stream up at another VM if it breaks. */
  async #sendWithTry(
    vm: SoakVm,
    { path, isStream, isResumable }: typeof SOAK_ROUTES[number],
  ): Promise<TestAnswer> {
    const answer = await this.#send(vm, path);
    if (!isStream) return answer;
    const replicas = listEventReplicas(answer.body);
    if (isResumable && !answer.isWhole && replicas.length > 0) {
      const first = answer.requestId;
      const other = this.#random.pick(this.vms)!;
      const rest = await this.#send(other, path, {
        resumes: first,
        "last-event-id": String(replicas.length),
      });
      this.streams.takenUp += 1;
      if (rest.status === 200) {
        this.streams.wentOn += 1;
        replicas.push(...listEventReplicas(rest.body));
      }
    }
    const versions = new Set(replicas.map(getReplicaVersion));
    if (versions.size > 1) {
      this.streams.mixed.push(`${answer.requestId}: ${replicas.join(" ")}`);
    }
    return answer;
  }

  async #send(
    vm: SoakVm,
    path: string,
    headers: Record<string, string> = {},
    part?: string,
  ): Promise<TestAnswer & { requestId: string }> {
    this.#sent += 1;
    const requestId = `${vm.name}~${this.#sent}`;
    const answer = await sendCall(`${vm.address}:${vm.callersPort}`, {
      agent: this.#agent,
      path,
      clientTimeoutMs: 2 * CALL_TIMEOUT_MS,
      headers: {
        host: HOST,
        authorization: `Bearer ${PERMANENT_KEY}`,
        "x-request-id": requestId,
        "x-timeout-ms": String(CALL_TIMEOUT_MS),
        ...this.#buildPrompt(path, { own: requestId, second: part }),
        ...headers,
      },
    });
    if (part === undefined && isHeldByPart(answer)) {
      this.heldSound.push(`${requestId}: ${answer.body}`);
    }
    return { ...answer, requestId };
  }

  /** Calls have no prompts. */
  #buildPrompt(
    path: string,
    parts: { own: string; second: string | undefined },
  ): Record<string, string> {
    return path.includes("stream")
      ? buildPromptHeaders(this.#random, parts)
      : {};
  }

  async #applyFaultsUntil(until: number): Promise<void> {
    const { faultGapMs } = this.#options;
    if (faultGapMs === 0) return;
    const faults: Promise<void>[] = [];
    while (performance.now() < until) {
      await sleep(this.#random.nextInt(2 * faultGapMs));
      faults.push(this.#applyFault(this.#random.nextInt(this.vms.length)));
    }
    await Promise.all(faults);
  }

  async #applyFault(index: number): Promise<void> {
    const vm = this.vms[index]!;
    if (vm.isEndExpected) return;
    const kind = this.#random.pick(["pause", "kill", "terminate", "store"])!;
    this.faults[kind] = (this.faults[kind] ?? 0) + 1;
    await this.#runDisturbance([vm], async () => {
      if (kind === "pause") await this.#pause([vm], this.#pickFaultMs());
      else if (kind === "store") await this.#cutStore(this.#relays[index]!);
      else await this.#restart(vm, kind === "kill" ? "SIGKILL" : "SIGTERM");
    });
  }

  async #destroyHerdsUntil(until: number): Promise<void> {
    const { herdGapMs } = this.#options;
    if (herdGapMs === 0) return;
    const herds: Promise<void>[] = [];
    while (performance.now() + herdGapMs < until) {
      await sleep(herdGapMs);
      herds.push(this.#destroyHerd());
    }
    await Promise.all(herds);
  }

  /** Cuts the links of one to seven in eight VMs to all replicas. */
  async #cutLinksUntil(until: number): Promise<void> {
    const { cutGapMs, vms } = this.#options;
    if (cutGapMs === 0) return;
    while (performance.now() + cutGapMs < until) {
      await sleep(cutGapMs);
      const eighths = 1 + this.#random.nextInt(MAX_CUT_EIGHTHS);
      const names = this.vms.map(({ name }) => name);
      const cut = this.#random.pickSample(names, Math.ceil(vms * eighths / 8));
      this.faults["links"] = (this.faults["links"] ?? 0) + 1;
      await this.#place.links.cut(cut, this.#random.pick(LINK_CUTS)!, CUT_MS);
    }
  }

  /** Kills a share of the VMs at the same moment and starts them again. */
  async #destroyHerd(): Promise<void> {
    const running = this.vms.filter(({ isEndExpected }) => !isEndExpected);
    const count = Math.round(this.#options.herdShare * running.length);
    const herd = this.#random.pickSample(running, count);
    this.faults["herd"] = (this.faults["herd"] ?? 0) + 1;
    herd.forEach((vm) => {
      vm.isEndExpected = true;
      vm.send("SIGKILL");
    });
    await this.#runDisturbance(herd, async () => {
      await sleep(HERD_DOWN_MS);
      herd.forEach((vm) => vm.start());
      for (const vm of herd) {
        while (!vm.hasStarted) await sleep(CHECK_INTERVAL_MS);
      }
    });
  }

  /**
   * Pauses the VMs that watch the store and those that place requests, all at
   * once.
   */
  async #pauseCentralVms(): Promise<void> {
    if (!this.#options.centralPause) return;
    await sleep(CENTRAL_PAUSE_AFTER_MS);
    const names = this.vms.map(({ name }) => toId<VmId>(name));
    const candidates = names.map((vm) => ({ vm, cores: 1, isPrimed: true }));
    const central = new Set([
      ...computeRendezvousOrder("store-watch", names).slice(0, WATCHERS),
      ...listPartitionOwners("pools-0", candidates),
    ]);
    const vms = this.vms.filter(({ name }) => central.has(toId<VmId>(name)));
    await this.#runDisturbance(vms, () => this.#pause(vms, CENTRAL_PAUSE_MS));
  }

  async #runDisturbance(
    vms: readonly SoakVm[],
    run: () => Promise<void>,
  ): Promise<void> {
    const disturbance = { from: performance.now(), to: Infinity };
    vms.forEach((vm) => this.#disturbances.get(vm)!.push(disturbance));
    await run();
    disturbance.to = performance.now();
  }

  async #pause(vms: readonly SoakVm[], forMs: number): Promise<void> {
    vms.forEach((vm) => vm.send("SIGSTOP"));
    await sleep(forMs);
    vms.forEach((vm) => vm.send("SIGCONT"));
  }

  async #cutStore(relay: Relay): Promise<void> {
    const mode = this.#random.pick(RELAY_MODES)!;
    relay.setModeOfNew(mode);
    if (mode === "refuse") relay.destroyOpen({ reset: true });
    else relay.setModeOfOpen(mode);
    await sleep(this.#pickFaultMs());
    relay.setModeOfNew("pass");
    relay.destroyOpen();
  }

  async #restart(vm: SoakVm, signal: "SIGKILL" | "SIGTERM"): Promise<void> {
    vm.isEndExpected = true;
    vm.send(signal);
    const limit = setTimeout(() => vm.send("SIGKILL"), 2 * DRAIN_GRACE_MS);
    await vm.waitEnd();
    clearTimeout(limit);
    vm.start();
    while (!vm.hasStarted) await sleep(CHECK_INTERVAL_MS);
  }

  #pickFaultMs(): number {
    return MIN_FAULT_MS + this.#random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS);
  }
}
