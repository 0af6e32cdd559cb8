/**
 * Calls to other entry VMs.
 *
 * @module
 */
import type { SocketAddress } from "./endpoint.ts";
import http from "node:http";
import https from "node:https";
import type { TRPCClient } from "@trpc/client";
import { createTRPCClient } from "@trpc/client";
import { StepError, toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import type { Clock } from "../process/clock.ts";
import type * as Peer from "../process/peer_api.ts";
import type { SuspectEntry } from "../process/quarantine/index.ts";
import { PeerApi, PeerDirectory } from "../process/peer_api.ts";
import type { PeerCallContext } from "./peer_link.ts";
import { createPeerLink, PeerDeadlineError } from "./peer_link.ts";
import type { PeerRouter } from "./peer_router.ts";
import { PEER_SECRET_HEADER } from "./peer_listener.ts";
import type { ClientTls } from "./tls_material.ts";
import { buildTlsOptions } from "./upstream_call.ts";

const IDLE_CONNECTION_MS = 20_000;

/** How long each call may take, in milliseconds. */
export interface PeerDeadlines {
  /** Beyond the time for which the owner may hold the call. */
  acquireMargin: number;
  probe: number;
  probeVia: number;
  /** Leases, limits, claims and fates. */
  short: number;
  /** Configurations, queues handed on and figures. */
  long: number;
}

/** Deadlines that fit data centres of one region. */
const DEFAULT_PEER_DEADLINES: PeerDeadlines = {
  acquireMargin: 500,
  probe: 500,
  probeVia: 1_200,
  short: 1_000,
  long: 3_000,
};

/** What the channel to other VMs is made of. */
export interface TrpcPeerDirectoryOptions {
  clock: Clock;
  /** The fleet's shared secret. */
  secret: string;
  /** This VM, named in errors. */
  from: VmId;
  /** Where a VM listens for peers; undefined when it is not listed. */
  findAddress: (vm: VmId) => SocketAddress | undefined;
  tls?: ClientTls | undefined;
  deadlines?: PeerDeadlines;
}

/** One VM's address with the client that is bound to it. */
interface Channel {
  address: string;
  port: number;
  agent: http.Agent;
  client: TRPCClient<PeerRouter>;
}

/** Finds the tRPC channel to another VM. */
export class TrpcPeerDirectory extends PeerDirectory {
  readonly #options: TrpcPeerDirectoryOptions;
  readonly #peers = new Map<VmId, TrpcPeer>();

  constructor(options: TrpcPeerDirectoryOptions) {
    super();
    this.#options = options;
  }

  static create(options: TrpcPeerDirectoryOptions): TrpcPeerDirectory {
    return new TrpcPeerDirectory(options);
  }

  getPeer(vm: VmId): PeerApi {
    const known = this.#peers.get(vm);
    if (known !== undefined) return known;
    const peer = new TrpcPeer(vm, this.#options);
    this.#peers.set(vm, peer);
    return peer;
  }

  /** Closes the connections to VMs that `isWanted` refuses. */
  removePeers(isWanted: (vm: VmId) => boolean): void {
    for (const [vm, peer] of this.#peers) {
      if (isWanted(vm)) continue;
      peer.close();
      this.#peers.delete(vm);
    }
  }

  /** Closes every connection. */
  close(): void {
    this.removePeers(() => false);
  }
}

class TrpcPeer extends PeerApi {
  readonly #vm: VmId;
  readonly #options: TrpcPeerDirectoryOptions;
  readonly #deadlines: PeerDeadlines;
  #channel: Channel | undefined;

  constructor(vm: VmId, options: TrpcPeerDirectoryOptions) {
    super();
    this.#vm = vm;
    this.#options = options;
    this.#deadlines = options.deadlines ?? DEFAULT_PEER_DEADLINES;
  }

  close(): void {
    this.#channel?.agent.destroy();
    this.#channel = undefined;
  }

  acquire(call: Peer.AcquireCall): Promise<Peer.AcquireAnswer> {
    const deadlineMs = call.holdMs + this.#deadlines.acquireMargin;
    return this.#send("acquire", deadlineMs, (client, options) => {
      return client.acquire.mutate(call, options);
    });
  }

  syncLeases(call: Peer.SyncCall): Promise<Peer.SyncAnswer> {
    return this.#send(
      "sync_leases",
      this.#deadlines.short,
      (client, options) => client.syncLeases.mutate(call, options),
    );
  }

  probe(call: Peer.ProbeCall): Promise<Peer.ProbeAnswer> {
    return this.#send("probe", this.#deadlines.probe, (client, options) => {
      return client.probe.mutate(call, options);
    });
  }

  probeVia(target: VmId, call: Peer.ProbeCall): Promise<boolean> {
    return this.#send(
      "probe_via",
      this.#deadlines.probeVia,
      (client, options) => client.probeVia.mutate({ target, call }, options),
    );
  }

  fetchSnapshot(call: Peer.SnapshotCall): Promise<Peer.SnapshotAnswer> {
    return this.#send(
      "fetch_snapshot",
      this.#deadlines.long,
      (client, options) => client.fetchSnapshot.mutate(call, options),
    );
  }

  leaseLimit(call: Peer.LimitCall): Promise<Peer.LimitAnswer> {
    return this.#send(
      "lease_limit",
      this.#deadlines.short,
      (client, options) => client.leaseLimit.mutate(call, options),
    );
  }

  claimRun(call: Peer.ClaimCall): Promise<Peer.ClaimAnswer> {
    return this.#send("claim_run", this.#deadlines.short, (client, options) => {
      return client.claimRun.mutate(call, options);
    });
  }

  settleRun(call: Peer.SettleCall): Promise<void> {
    return this.#send(
      "settle_run",
      this.#deadlines.short,
      (client, options) => client.settleRun.mutate(call, options),
    );
  }

  findFate(call: Peer.RequestStatusCall): Promise<Peer.RequestStatusAnswer> {
    return this.#send("find_fate", this.#deadlines.short, (client, options) => {
      return client.findFate.mutate(call, options);
    });
  }

  handOver(call: Peer.HandOverCall): Promise<boolean> {
    return this.#send("hand_over", this.#deadlines.long, (client, options) => {
      return client.handOver.mutate(call, options);
    });
  }

  collectStats(): Promise<Peer.StatsAnswer> {
    return this.#send(
      "collect_stats",
      this.#deadlines.long,
      (client, options) => client.collectStats.mutate(undefined, options),
    );
  }

  noteSuspects(call: Peer.SuspectsCall): Promise<SuspectEntry[]> {
    return this.#send(
      "note_suspects",
      this.#deadlines.short,
      (client, options) => client.noteSuspects.mutate(call, options),
    );
  }

  /**
   * Makes one call within its deadline. A connection can go silent for good
   * without an error; only the deadline tells. The call's connection is
   * destroyed then, and the idle ones with it, so that the next call connects
   * anew and does not wait out another deadline.
   */
  async #send<T>(
    step: string,
    deadlineMs: number,
    send: (
      client: TRPCClient<PeerRouter>,
      options: { context: PeerCallContext },
    ) => Promise<unknown>,
  ): Promise<T> {
    const channel = this.#openChannel(step);
    try {
      const answer = await send(channel.client, { context: { deadlineMs } });
      // JSON leaves out what is undefined; reading gives undefined again.
      return answer as T;
    } catch (thrown) {
      const cause = toError(thrown);
      const isLate = cause.cause instanceof PeerDeadlineError;
      throw new StepError(
        { step, peer: this.#vm, cause },
        isLate ? "VM did not answer in time" : "Call to the VM failed",
      );
    }
  }

  #openChannel(step: string): Channel {
    const endpoint = this.#options.findAddress(this.#vm);
    if (endpoint === undefined) {
      throw new StepError({ step, peer: this.#vm }, "VM is not listed");
    }
    const known = this.#channel;
    if (
      known?.address === endpoint.address && known.port === endpoint.port
    ) {
      return known;
    }
    known?.agent.destroy();
    this.#channel = createChannel(endpoint, this.#options);
    return this.#channel;
  }
}

function createChannel(
  endpoint: SocketAddress,
  options: TrpcPeerDirectoryOptions,
): Channel {
  const settings = {
    keepAlive: true,
    timeout: IDLE_CONNECTION_MS,
    scheduling: "lifo" as const,
  };
  const agent = options.tls === undefined
    ? new http.Agent(settings)
    : new https.Agent(settings);
  const client = createTRPCClient<PeerRouter>({
    links: [
      createPeerLink({
        clock: options.clock,
        agent,
        endpoint,
        headers: {
          "content-type": "application/json",
          [PEER_SECRET_HEADER]: options.secret,
        },
        tls: options.tls && buildTlsOptions(options.tls, endpoint),
        onLate: () => closeIdleConnections(agent),
      }),
    ],
  });
  return { ...endpoint, agent, client };
}

function closeIdleConnections(agent: http.Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
