/**
 * A few VMs with shard owners and lease clients, connected by fake channels.
 *
 * @module
 */
import { toId, type VmId } from "../../../src/ids.ts";
import type {
  AcquireCall,
  HandOverCall,
  PeerApi,
  SyncCall,
} from "../../../src/process/peer_api.ts";
import { PeerDirectory } from "../../../src/process/peer_api.ts";
import {
  buildShardId,
  buildShardKey,
  LeaseClient,
  ShardOwners,
} from "../../../src/process/scheduler/index.ts";
import type { HeldLease, LeaseRequest } from "../../../src/process/services.ts";
import type { Snapshot } from "../../../src/version/records.ts";
import {
  buildEntryVm,
  buildEnvironment,
  buildReport,
  buildSnapshot,
  buildUpstream,
  FakeMembership,
  FakeUpstreams,
  JumpingClock,
  type SnapshotParts,
} from "./fixtures.ts";

const CHANNEL_MS = 1;

/** One VM of the fleet. */
export interface FleetVm {
  id: VmId;
  owners: ShardOwners;
  client: LeaseClient;
  membership: FakeMembership;
}

/** The outcome of a request under test. */
export interface Outcome {
  lease: HeldLease | undefined;
  error: unknown;
  abort: AbortController;
  steps: string[];
}

/** The fleet, running in virtual time. */
export class SmallFleet {
  readonly clock = JumpingClock.create();
  readonly vms: FleetVm[] = [];
  /** VMs whose messages are dropped in both directions. */
  readonly disconnected = new Set<VmId>();
  readonly snapshot: Snapshot;
  #requests = 0;

  constructor(parts: SnapshotParts & { vms: number; replicas: number }) {
    this.snapshot = buildSnapshot(parts);
    const entryVms = Array.from(
      { length: parts.vms },
      (_, index) => buildEntryVm(`entry-${index}`),
    );
    const upstreams = Array.from(
      { length: parts.replicas },
      (_, index) => buildUpstream(`upstream-${index}`),
    );
    const engines = new FakeUpstreams();
    for (const upstream of upstreams) {
      engines.loads.set(upstream.id, buildReport());
    }
    for (const { id } of entryVms) {
      const membership = new FakeMembership();
      membership.entryVms = entryVms;
      membership.upstreams = upstreams;
      const environment = buildEnvironment(id, {
        clock: this.clock,
        peers: new FleetPeers(this, id),
        upstreams: engines,
      });
      const getSnapshot = () => this.snapshot;
      const owners = ShardOwners.create({
        environment,
        membership,
        getSnapshot,
        features: { loadReports: false },
      });
      const client = LeaseClient.create({
        environment,
        membership,
        getSnapshot,
        getLocal: () => toPeer(owners),
      });
      this.vms.push({ id, owners, client, membership });
    }
  }

  static create(
    parts: SnapshotParts & { vms: number; replicas: number },
  ): SmallFleet {
    const fleet = new SmallFleet(parts);
    for (const vm of fleet.vms) {
      vm.owners.start();
      vm.client.start();
    }
    return fleet;
  }

  /** The owner of the only shard in the view of the first connected VM. */
  getOwner(): FleetVm {
    const view =
      this.vms.find((vm) => !this.disconnected.has(vm.id))!.membership;
    const owner = view.findOwner(buildShardKey(buildShardId(toId("pool"), 0)));
    return this.vms.find((vm) => vm.id === owner)!;
  }

  /** Lists the VMs that do not own the shard. */
  listOthers(): FleetVm[] {
    const owner = this.getOwner();
    return this.vms.filter((vm) => vm !== owner);
  }

  /** Marks `id` as unreachable in the membership view of every other VM. */
  noteUnreachable(id: VmId): void {
    for (const vm of this.vms) {
      if (vm.id === id) continue;
      vm.membership.unreachable.add(id);
      vm.membership.announce();
    }
  }

  acquire(vm: FleetVm, changes: Partial<LeaseRequest> = {}): Outcome {
    const outcome: Outcome = {
      lease: undefined,
      error: undefined,
      abort: new AbortController(),
      steps: [],
    };
    const now = this.clock.now();
    vm.client.acquire({
      requestId: toId(`request-${this.#requests++}`),
      attempt: 1,
      workspace: toId("workspace"),
      className: toId("high"),
      pool: toId("pool"),
      model: toId("model"),
      adapter: undefined,
      arrivedAt: now,
      deadlineAt: now + 20_000,
      promptTokens: 10,
      maxTokens: 100,
      doneTokens: 0,
      idempotent: true,
      prefixes: [],
      avoid: [],
      ...changes,
    }, {
      signal: outcome.abort.signal,
      onStep: (step) => outcome.steps.push(step.step),
    }).then(
      (lease) => outcome.lease = lease,
      (error) => outcome.error = error,
    );
    return outcome;
  }

  stop(): void {
    for (const vm of this.vms) {
      vm.client.stop();
      vm.owners.stop();
    }
  }
}

/** Releases the lease as done. */
export function releaseDone(outcome: Outcome): void {
  outcome.lease!.release("done", {
    tokens: 10,
    firstTokenMs: 100,
    betweenTokensMs: 10,
  });
}

class FleetPeers extends PeerDirectory {
  readonly #fleet: SmallFleet;
  readonly #from: VmId;

  constructor(fleet: SmallFleet, from: VmId) {
    super();
    this.#fleet = fleet;
    this.#from = from;
  }

  getPeer(vm: VmId): PeerApi {
    const { clock, disconnected, vms } = this.#fleet;
    const isCut = () => disconnected.has(vm) || disconnected.has(this.#from);
    const send = async <T>(answer: (peer: PeerApi) => Promise<T>) => {
      await clock.sleep(CHANNEL_MS);
      if (isCut()) return await waitForever();
      const target = vms.find((one) => one.id === vm)!;
      const result = await answer(toPeer(target.owners));
      await clock.sleep(CHANNEL_MS);
      return isCut() ? await waitForever() : result;
    };
    return {
      acquire: (call: AcquireCall) => send((peer) => peer.acquire(call)),
      syncLeases: (call: SyncCall) => send((peer) => peer.syncLeases(call)),
      handOver: (call: HandOverCall) => send((peer) => peer.handOver(call)),
    } as unknown as PeerApi;
  }
}

function waitForever(): Promise<never> {
  return new Promise(() => {});
}

function toPeer(owners: ShardOwners): PeerApi {
  return {
    acquire: (call: AcquireCall) => owners.acquire(call),
    syncLeases: (call: SyncCall) => Promise.resolve(owners.syncLeases(call)),
    handOver: (call: HandOverCall) => Promise.resolve(owners.handOver(call)),
  } as unknown as PeerApi;
}
