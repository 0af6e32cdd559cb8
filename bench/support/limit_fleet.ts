/**
 * Workspace limits of several VMs in one process and in virtual time.
 *
 * @module
 */
import type { UpstreamTransport } from "../../src/connection/upstream_transport.ts";
import { toId, type VmId, type WorkspaceName } from "../../src/ids.ts";
import { RefusalError } from "../../src/outcome.ts";
import { WorkspaceLimits } from "../../src/process/limits/index.ts";
import { SilentLog } from "../../src/process/log.ts";
import type {
  LimitAnswer,
  LimitCall,
  PeerApi,
} from "../../src/process/peer_api.ts";
import { SeededRandom } from "../../src/process/random.ts";
import type {
  ListedVm,
  MembershipList,
} from "../../src/version/membership_list.ts";
import type { Snapshot, Workspace } from "../../src/version/records.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { VirtualNetwork } from "../../standin/virtual_network.ts";
import { FakeMembership } from "./fake_membership.ts";

/** Time in which the fleet detects an unreachable VM. */
const DETECTION_MS = 2_000;

/** Time in which a lost VM is removed from the membership list. */
const LIST_UPDATE_MS = 20_000;

/** One admitted request. */
export interface Admission {
  at: number;
  vm: VmId;
  workspace: WorkspaceName;
  tokens: number;
}

/** Options of a fleet. */
export interface LimitFleetOptions {
  seed: number;
  vms: number;
  workspaces: readonly Workspace[];
}

interface FleetVm {
  id: VmId;
  limits: WorkspaceLimits;
  membership: FakeMembership;
}

/** VMs that are connected only by the network. */
export class LimitFleet {
  readonly clock = VirtualClock.create();
  readonly network: VirtualNetwork;
  readonly admissions: Admission[] = [];
  refused = 0;
  readonly #vms = new Map<VmId, FleetVm>();
  readonly #destroyed = new Set<VmId>();
  #list: MembershipList;

  constructor(options: LimitFleetOptions) {
    const random = SeededRandom.create(options.seed);
    this.network = VirtualNetwork.create({ clock: this.clock, random });
    const ids = Array.from(
      { length: options.vms },
      (_, index) => toId<VmId>(`entry-${index + 1}`),
    );
    this.#list = { revision: 1, vms: ids.map((id) => buildListedVm(id)) };
    const snapshot = buildSnapshot(options.workspaces);
    for (const id of ids) this.#addVm(id, snapshot);
  }

  static create(options: LimitFleetOptions): LimitFleet {
    return new LimitFleet(options);
  }

  /** Lists the VMs that have not been destroyed. */
  listVms(): VmId[] {
    return [...this.#vms.keys()].filter((vm) => !this.#destroyed.has(vm));
  }

  getLimits(vm: VmId): WorkspaceLimits {
    return this.#vms.get(vm)!.limits;
  }

  findOwner(workspace: WorkspaceName): VmId {
    const [first] = this.listVms();
    return this.#vms.get(first!)!.membership
      .findOwner(`limit:${workspace}`)!;
  }

  /**
   * Requests admission; resolves with the retry-after time if it is refused.
   */
  async admit(
    vm: VmId,
    workspace: WorkspaceName,
    tokens: number,
  ): Promise<{ admitted: boolean; retryAfterMs?: number }> {
    try {
      await this.getLimits(vm).admit(workspace, tokens);
      this.admissions.push({ at: this.clock.now(), vm, workspace, tokens });
      return { admitted: true };
    } catch (thrown) {
      if (!(thrown instanceof RefusalError)) throw thrown;
      this.refused += 1;
      return { admitted: false, retryAfterMs: thrown.refusal.retryAfterMs };
    }
  }

  /** Sends a request from `vm` every `everyMs`; a paused VM sends none. */
  async runLoad(
    vm: VmId,
    workspace: WorkspaceName,
    options: { everyMs: number; tokens: number; untilMs: number },
  ): Promise<void> {
    const clock = this.network.createClock(vm);
    while (clock.now() < options.untilMs && !this.#destroyed.has(vm)) {
      void this.admit(vm, workspace, options.tokens);
      await clock.sleep(options.everyMs);
    }
  }

  /**
   * Destroys a VM. The others detect it after `DETECTION_MS`; the list drops it
   * `LIST_UPDATE_MS` later.
   */
  async destroyVm(vm: VmId): Promise<void> {
    this.#destroyed.add(vm);
    this.network.removeVm(vm);
    this.getLimits(vm).close();
    await this.clock.sleep(DETECTION_MS);
    this.#setReachable(this.listVms(), [vm], false);
    await this.clock.sleep(LIST_UPDATE_MS);
    this.#list = {
      revision: this.#list.revision + 1,
      vms: this.#list.vms.filter(({ id }) => id !== vm),
    };
    for (const { membership } of this.#vms.values()) {
      membership.setList(this.#list);
    }
  }

  /**
   * Partitions the fleet for `ms`; each side detects it after `DETECTION_MS`.
   */
  async runPartition(
    left: readonly VmId[],
    right: readonly VmId[],
    ms: number,
  ): Promise<void> {
    this.network.cutBetween(left, right);
    await this.clock.sleep(DETECTION_MS);
    this.#setReachable(left, right, false);
    this.#setReachable(right, left, false);
    await this.clock.sleep(ms - DETECTION_MS);
    this.network.heal();
    this.#setReachable(left, right, true);
    this.#setReachable(right, left, true);
  }

  /**
   * Pauses a VM for `ms`; it resumes with its member states from before the
   * pause.
   */
  async runPause(vm: VmId, ms: number): Promise<void> {
    const others = this.listVms().filter((other) => other !== vm);
    this.network.pause(vm);
    await this.clock.sleep(DETECTION_MS);
    this.#setReachable(others, [vm], false);
    await this.clock.sleep(ms - DETECTION_MS);
    this.network.resume(vm);
    await this.clock.sleep(DETECTION_MS);
    this.#setReachable(others, [vm], true);
  }

  close(): void {
    for (const { limits } of this.#vms.values()) limits.close();
  }

  #setReachable(
    observers: readonly VmId[],
    vms: readonly VmId[],
    isReachable: boolean,
  ): void {
    for (const observer of observers) {
      this.#vms.get(observer)!.membership.setReachable(vms, isReachable);
    }
  }

  #addVm(id: VmId, snapshot: Snapshot): void {
    const membership = FakeMembership.create(this.#list);
    const limits: WorkspaceLimits = WorkspaceLimits.create({
      environment: {
        vm: id,
        incarnation: toId("1"),
        dataCentre: toId("a"),
        clock: this.network.createClock(id),
        random: SeededRandom.create(1),
        log: SilentLog.create(),
        peers: this.network.createDirectory(id),
        upstreams: {} as UpstreamTransport,
      },
      membership,
      getSnapshot: () => snapshot,
      getLocal: () => toLimitPeer(limits),
    });
    this.#vms.set(id, { id, limits, membership });
    this.network.addVm(id, toLimitPeer(limits));
  }
}

/** Builds a peer that serves only limit calls. */
function toLimitPeer(limits: WorkspaceLimits): PeerApi {
  const peer = {
    leaseLimit: (call: LimitCall): Promise<LimitAnswer> =>
      Promise.resolve(limits.answerLeaseLimit(call)),
  };
  return peer as PeerApi;
}

function buildListedVm(id: VmId): ListedVm {
  return {
    id,
    role: "entry",
    state: "live",
    dataCentre: toId("a"),
    address: "127.0.0.1",
    port: 1,
    peerPort: 1,
    pool: undefined,
  };
}

function buildSnapshot(workspaces: readonly Workspace[]): Snapshot {
  return {
    version: 1,
    tiers: new Map(),
    classes: new Map(),
    workspaces: new Map(workspaces.map((record) => [record.name, record])),
    pools: new Map(),
    policy: {
      kind: "policy",
      name: "policy",
      weights: { wastedWork: 1, goodput: 1, attainment: 1 },
      retryShare: 0.1,
      preemption: false,
      weightStoreOrdersPerMinute: 1,
    },
    workspaceByKeyHash: new Map(),
    poolsByModel: new Map(),
  };
}

/** Builds a workspace with the given limits and defaults for the rest. */
export function buildWorkspace(
  name: string,
  limits: Workspace["limits"],
): Workspace {
  return {
    kind: "workspace",
    name: toId(name),
    keyHashes: [],
    defaultClass: toId("any"),
    classes: [toId("any")],
    weight: 1,
    limits,
    objectives: {},
  };
}
