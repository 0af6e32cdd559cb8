/**
 * Processes, stand-ins and relays of a soak, and the faults applied to them.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { match } from "ts-pattern";
import { ChildProcessGroup } from "../../demo/child_process_group.ts";
import { findFreePorts } from "../../demo/free_ports.ts";
import { buildConfiguration } from "../platform/configurations.ts";
import { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { StoreStandIn } from "../platform/store_stand_in.ts";
import { SoakStoreWriters } from "./soak_store_writers.ts";
import { Relay } from "../support/relay.ts";
import { cutCrashed } from "./crashed_replica.ts";
import { hasPoisonPart } from "./prompt_parts.ts";
import { POISON_BODY } from "./soak_callers.ts";
import { SoakBackOffs } from "./soak_back_offs.ts";
import { LinkControl } from "./link_control.ts";
import { SoakBrittleness } from "./soak_brittleness.ts";
import { SoakLeaving } from "./soak_leaving.ts";
import { SoakLimits } from "./soak_limits.ts";
import type { Fault } from "./soak_plan.ts";
import { type SoakPorts, SoakVm } from "./soak_vm.ts";

/** A key that every configuration accepts. */
export const PERMANENT_KEY = "key-standing";
const SENT_LINE = /request_id=(\S+) step=sent .*?peer=(\S+)/;
const REFUSED_LINE =
  /request_id=(\S+) step=stream_broken .*?peer=(\S+) detail="Upstream answered/;
const FIRST_VERSION = "v1";
const DRAIN_GRACE_MS = 4_000;
/** Delay before a crashed replica is replaced. */
const REPLACEMENT_DELAY_MS = 1_000;
/** Delay before a replica that left is listed again, as another process. */
const RELISTING_DELAY_MS = 1_000;
/** Time for all VMs to read the store after a fault of it has ended. */
const STORE_RECOVERY_MS = 4_000;
/** A process that has not exited this long after SIGTERM is killed. */
const END_LIMIT_MS = DRAIN_GRACE_MS + 4_000;

/** A key that a configuration revoked, and when. */
export interface RevokedKey {
  key: string;
  at: number;
}

/** A replica and the relay before it. */
interface SoakReplica {
  standIn: ReplicaStandIn;
  relay: Relay;
}

/** All processes, stand-ins and relays of a soak. */
export class SoakFleet {
  readonly vms: SoakVm[] = [];
  readonly replicas: SoakReplica[] = [];
  readonly revoked: RevokedKey[] = [];
  readonly limits = SoakLimits.create();
  readonly leaving = SoakLeaving.create();
  readonly backOffs = SoakBackOffs.create();
  readonly brittle = SoakBrittleness.create();
  /** Version of the software of each replica by its id. */
  readonly versions = new Map<string, string>();
  /** When each key that changes was first published. */
  readonly published = new Map<string, number>();
  readonly #store = StoreStandIn.create();
  readonly #storeWriters = SoakStoreWriters.create(this.#store);
  readonly #storeRelays: Relay[] = [];
  readonly #directory: string;
  readonly #children: ChildProcessGroup;
  readonly #restarts: Promise<void>[] = [];
  readonly #crashed: ReplicaStandIn[] = [];
  /** Replicas that were replaced in a release. */
  readonly #released: SoakReplica[] = [];
  /** Version of the software of each replica by its place. */
  readonly #slotVersions: string[] = [];
  #releases = 0;
  /** When a fault of the store, or of one VM's relay to it, began or ended. */
  readonly #storeFaults: { at: number; vm: string | undefined }[] = [];
  #links: LinkControl | undefined;
  #version = 1;
  #key = "key-1";
  #isClosed = false;

  constructor() {
    this.#directory = mkdtempSync(join(tmpdir(), "persimmonslip-soak-"));
    this.#children = ChildProcessGroup.create(this.#directory);
  }

  static async create(
    options: { vms: number; replicas: number },
  ): Promise<SoakFleet> {
    const fleet = new SoakFleet();
    fleet.#links = await LinkControl.create(fleet.#directory);
    await fleet.#store.start();
    fleet.#announceConfiguration();
    for (let index = 1; index <= options.replicas; index++) {
      await fleet.#addReplica(`i-${index}`);
    }
    await fleet.#addVms(options.vms);
    fleet.vms.forEach((vm) => vm.start());
    return fleet;
  }

  /**
   * The key of the newest configuration that a later one may revoke, and the
   * key that was revoked last.
   */
  get changingKeys(): string[] {
    const last = this.revoked.at(-1);
    return last === undefined ? [this.#key] : [this.#key, last.key];
  }

  /** The links of the VMs to the replicas. */
  get links(): LinkControl {
    return this.#links!;
  }

  /**
   * The VM that sent a request to a replica, by `REQUEST REPLICA`, as the VMs'
   * logs say.
   */
  listSenders(): Map<string, string> {
    return new Map(this.vms.flatMap((vm) =>
      vm.readLog().flatMap((line) => {
        const [, id, replica] = SENT_LINE.exec(line) ?? [];
        return id === undefined ? [] : [[`${id} ${replica}`, vm.name]];
      })
    ));
  }

  /**
   * Refusals of replicas that reached a VM, by `REQUEST REPLICA`, as the VMs' logs
   * say.
   */
  listReceivedRefusals(): Set<string> {
    const lines = this.vms.flatMap((vm) => vm.readLog());
    return new Set(lines.flatMap((line) => {
      const [, id, replica] = REFUSED_LINE.exec(line) ?? [];
      return id === undefined ? [] : [`${id} ${replica}`];
    }));
  }

  /** Counts the runs of each request by its id. */
  countRuns(): Map<string, number> {
    const counts = new Map<string, number>();
    const current = this.replicas.map(({ standIn }) => standIn);
    for (const { ran } of [...current, ...this.#crashed]) {
      for (const { headers } of ran) {
        const id = headers["x-request-id"] ?? "";
        counts.set(id, (counts.get(id) ?? 0) + 1);
      }
    }
    return counts;
  }

  /** Whether a VM may have been unable to read the store in that time. */
  isStoreDisturbed(from: number, to: number): boolean {
    return this.#storeFaults.some(({ at }) =>
      at >= from - STORE_RECOVERY_MS && at <= to + STORE_RECOVERY_MS
    );
  }

  /** Whether one VM may have been unable to read the store in that time. */
  isStoreDisturbedFor(name: string, from: number, to: number): boolean {
    return this.#storeFaults.some(({ at, vm }) =>
      (vm === undefined || vm === name) && at >= from - STORE_RECOVERY_MS &&
      at <= to
    );
  }

  /** Applies a fault; resolves when it is over. */
  async applyFault(fault: Fault): Promise<void> {
    await match(fault)
      .with({ kind: "kill" }, ({ vm }) => this.#restart(vm, "SIGKILL"))
      .with({ kind: "terminate" }, ({ vm }) => this.#restart(vm, "SIGTERM"))
      .with({ kind: "reload" }, ({ vm }) => {
        // Without a handler yet, SIGHUP would end the starting process.
        if (this.vms[vm]!.hasStarted) this.vms[vm]!.send("SIGHUP");
      })
      .with({ kind: "pause" }, ({ vm, forMs }) => this.#pause(vm, forMs))
      .with({ kind: "reset_ways" }, ({ replica }) => {
        this.replicas[replica]!.relay.destroyOpen({ reset: true });
      })
      .with(
        { kind: "replica_way" },
        ({ replica, mode, forMs }) =>
          this.#setRelay(this.replicas[replica]!.relay, mode, forMs),
      )
      .with({ kind: "replica_delay" }, async ({ replica, delayMs, forMs }) => {
        this.replicas[replica]!.relay.setDelay(delayMs);
        await sleep(forMs);
        this.replicas[replica]!.relay.setDelay(0);
      })
      .with({ kind: "replica" }, async ({ replica, mode, forMs }) => {
        this.replicas[replica]!.standIn.mode = mode;
        await sleep(forMs);
        this.replicas[replica]!.standIn.mode = "answer";
      })
      .with(
        { kind: "replica_leaves" },
        ({ replica, forMs }) => this.#removeTemporarily(replica, forMs),
      )
      .with(
        { kind: "replica_removed" },
        (each) => this.#removeForLong(each.replica, each),
      )
      .with(
        { kind: "replica_limits" },
        async ({ replica, requestsPerS, forMs }) => {
          const { standIn } = this.replicas[replica]!;
          const end = this.limits.start(standIn, requestsPerS);
          await sleep(forMs);
          end();
        },
      )
      .with(
        { kind: "replica_says_leaving" },
        ({ replica, forMs }) => this.#runLeaving(replica, forMs),
      )
      .with({ kind: "replica_backs_off" }, async ({ replica, forS, forMs }) => {
        const { standIn } = this.replicas[replica]!;
        const end = this.backOffs.start(standIn, forS);
        await sleep(forMs);
        end();
      })
      .with({ kind: "links" }, ({ vms, how, forMs }) => {
        const names = vms.map((index) => this.vms[index]!.name);
        return this.links.cut(names, how, forMs);
      })
      .with(
        { kind: "replica_released" },
        ({ replica, version }) => this.#releaseReplica(replica, version),
      )
      .with({ kind: "replica_silent" }, ({ replica, forMs }) => {
        this.replicas[replica]!.standIn.startSilence(forMs);
      })
      .with({ kind: "replica_brittle" }, async ({ replica, forMs }) => {
        const end = this.brittle.start(this.replicas[replica]!.standIn);
        await sleep(forMs);
        end();
      })
      .with({ kind: "store_way" }, async ({ vm, mode, forMs }) => {
        const { name } = this.vms[vm]!;
        this.#noteStoreFault(name);
        await this.#setRelay(this.#storeRelays[vm]!, mode, forMs);
        this.#noteStoreFault(name);
      })
      .with({ kind: "store" }, async ({ mode, forMs }) => {
        this.#noteStoreFault();
        this.#store.mode = mode;
        this.#store.destroyConnections();
        await sleep(forMs);
        this.#store.mode = "up";
        this.#noteStoreFault();
      })
      .with({ kind: "store_restored" }, async ({ ageMs, forMs }) => {
        const copy = this.#storeWriters.pickCopy(ageMs);
        this.#noteStoreFault();
        this.#store.mode = "reset";
        this.#store.destroyConnections();
        await sleep(forMs);
        this.#store.applyCopy(copy);
        this.#store.mode = "up";
        this.#noteStoreFault();
        await this.#storeWriters.writeAgain(copy);
        this.#noteStoreFault();
      })
      .with({ kind: "store_forgets" }, () => this.#store.dropHistory())
      .with({ kind: "store_leaves_out" }, ({ replica }) => {
        const { id } = this.replicas[replica]!.standIn;
        this.#store.silenceKey(`servers/${id}`, 1);
      })
      .with({ kind: "configuration" }, ({ isRevoking }) => {
        if (isRevoking) this.#updateKey();
        this.#announceConfiguration();
      })
      .exhaustive();
  }

  /** Resolves once all pending restarts have completed. */
  async waitRestarts(): Promise<void> {
    await Promise.all(this.#restarts);
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#storeWriters.stop();
    for (const child of this.#children.listAlive()) {
      await this.#children.destroy(child);
    }
    const relays = this.replicas.map(({ relay }) => relay);
    for (const relay of [...relays, ...this.#storeRelays]) await relay.close();
    for (const { standIn } of this.replicas) await standIn.stop();
    for (const { standIn, relay } of this.#released) {
      await relay.close();
      await standIn.stop();
    }
    await this.#store.stop();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  async #addReplica(id: string): Promise<void> {
    await this.#startReplica(this.replicas.length, id);
  }

  async #startReplica(index: number, id: string): Promise<void> {
    const standIn = ReplicaStandIn.create(id);
    this.versions.set(id, this.#slotVersions[index] ?? FIRST_VERSION);
    const relay = await Relay.create(await standIn.start());
    standIn.isPoison = ({ body, headers }) =>
      new TextDecoder().decode(body) === POISON_BODY ||
      hasPoisonPart(headers);
    standIn.onCrash = () => this.#restarts.push(this.#replaceReplica(index));
    this.replicas[index] = { standIn, relay };
    this.#listReplica(index, "ready");
  }

  /** Replaces a crashed replica under a new id; its entry expires late. */
  async #replaceReplica(index: number): Promise<void> {
    const { standIn } = this.replicas[index]!;
    await cutCrashed(this.replicas[index]!);
    await sleep(REPLACEMENT_DELAY_MS);
    if (this.#isClosed) return;
    this.#crashed.push(standIn);
    this.#storeWriters.remove(`servers/${standIn.id}`);
    await this.#startReplica(index, `${standIn.id}-next`);
  }

  /**
   * Starts a replica with another version of the software in place of one that
   * leaves. The one that leaves goes on with what it has.
   */
  async #releaseReplica(index: number, version: string): Promise<void> {
    const old = this.replicas[index]!;
    if (old.standIn.hasCrashed || this.#isClosed) return;
    this.#releases += 1;
    this.#slotVersions[index] = version;
    this.#released.push(old);
    this.#crashed.push(old.standIn);
    // Nothing is to replace it if it crashes now.
    old.standIn.onCrash = () => {};
    await this.#startReplica(index, `i-r${this.#releases}-${version}`);
    this.#storeWriters.remove(`servers/${old.standIn.id}`);
  }

  async #addVms(count: number): Promise<void> {
    const names = ["callers", "readiness", "state", "directory", "peers"];
    const free = await findFreePorts(names.length);
    const ports = Object.fromEntries(
      names.map((name, index) => [name, free[index]!]),
    ) as unknown as SoakPorts;
    const net = `127.1.${process.pid % 250}`;
    const seeds = [`${net}.1:${ports.state}`, `${net}.2:${ports.state}`];
    for (let index = 1; index <= count; index++) {
      const relay = await Relay.create(this.#store.port);
      this.#storeRelays.push(relay);
      this.vms.push(SoakVm.create({
        name: `vm-${index}`,
        address: `${net}.${index}`,
        ports,
        seeds,
        storePort: relay.port,
        links: this.links,
        drainGraceMs: DRAIN_GRACE_MS,
        directory: this.#directory,
        children: this.#children,
      }));
    }
  }

  #listReplica(index: number, state: "ready" | "draining"): void {
    const { standIn, relay } = this.replicas[index]!;
    if (standIn.hasCrashed) return;
    if (state === "ready") this.leaving.endListed(standIn);
    else this.leaving.startListed(standIn);
    this.#storeWriters.put(`servers/${standIn.id}`, {
      service: "pool",
      address: `127.0.0.1:${relay.port}`,
      zone: "dc-1",
      slots: 16,
      version: this.versions.get(standIn.id),
      state,
    });
  }

  async #removeTemporarily(replica: number, forMs: number): Promise<void> {
    this.#listReplica(replica, "draining");
    await sleep(forMs);
    this.#removeReplica(replica);
    await sleep(forMs);
    this.#listReplica(replica, "ready");
  }

  /** Takes a replica off the list for longer than VMs need to learn of it. */
  async #removeForLong(
    replica: number,
    options: { isAnnounced: boolean; forMs: number },
  ): Promise<void> {
    const { standIn } = this.replicas[replica]!;
    if (options.isAnnounced) this.#listReplica(replica, "draining");
    else this.#removeReplica(replica);
    await sleep(options.forMs);
    if (this.replicas[replica]!.standIn !== standIn) return;
    this.#removeReplica(replica);
    await sleep(RELISTING_DELAY_MS);
    if (this.replicas[replica]!.standIn !== standIn) return;
    this.#listReplica(replica, "ready");
  }

  #removeReplica(index: number): void {
    const { standIn } = this.replicas[index]!;
    this.#storeWriters.remove(`servers/${standIn.id}`);
    this.leaving.startListed(standIn);
  }

  /** Announces a replica's leaving only in its answers, then lists it anew. */
  async #runLeaving(replica: number, forMs: number): Promise<void> {
    const { standIn } = this.replicas[replica]!;
    const end = this.leaving.start(standIn);
    await sleep(forMs);
    this.#storeWriters.remove(`servers/${standIn.id}`);
    end();
    await sleep(RELISTING_DELAY_MS);
    if (this.replicas[replica]!.standIn !== standIn) return;
    this.#listReplica(replica, "ready");
  }

  async #setRelay(
    relay: Relay,
    mode: Parameters<Relay["setModeOfNew"]>[0],
    forMs: number,
  ): Promise<void> {
    relay.setModeOfNew(mode);
    if (mode !== "refuse") relay.setModeOfOpen(mode);
    await sleep(forMs);
    relay.setModeOfNew("pass");
    // Silent connections stay silent until one of their ends closes them.
  }

  async #pause(index: number, forMs: number): Promise<void> {
    const vm = this.vms[index]!;
    vm.send("SIGSTOP");
    await sleep(forMs);
    vm.send("SIGCONT");
  }

  async #restart(
    index: number,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    const vm = this.vms[index]!;
    if (vm.isEndExpected) return;
    vm.isEndExpected = true;
    const restart = this.#runRestart(vm, signal);
    this.#restarts.push(restart);
    await restart;
  }

  async #runRestart(
    vm: SoakVm,
    signal: "SIGKILL" | "SIGTERM",
  ): Promise<void> {
    vm.send(signal);
    const limit = setTimeout(() => vm.send("SIGKILL"), END_LIMIT_MS);
    await vm.waitEnd();
    clearTimeout(limit);
    if (!this.#isClosed) vm.start();
  }

  #noteStoreFault(vm?: string): void {
    this.#storeFaults.push({ at: performance.now(), vm });
  }

  #updateKey(): void {
    this.revoked.push({ key: this.#key, at: performance.now() });
    this.#key = `key-${this.revoked.length + 1}`;
  }

  #announceConfiguration(): void {
    this.#version += 1;
    const keys = [PERMANENT_KEY, this.#key];
    if (!this.published.has(this.#key)) {
      this.published.set(this.#key, performance.now());
    }
    this.#storeWriters.put(
      "op/config",
      buildConfiguration(this.#version, { keys }),
    );
  }
}
