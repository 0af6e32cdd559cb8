/**
 * tRPC client for calls to other entry VMs.
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
import { createPeerLink, PeerTimeoutError } from "./peer_link.ts";
import type { PeerRouter } from "./peer_router.ts";
import { PEER_SECRET_HEADER } from "./peer_listener.ts";
import type { ClientTls } from "./tls_material.ts";
import { buildTlsOptions } from "./upstream_call.ts";

const IDLE_CONNECTION_TIMEOUT_MS = 20_000;

/** Timeouts of the calls. */
export interface PeerTimeouts {
  /** Added to the time for which the owner may hold the call. */
  acquireMarginMs: number;
  probeMs: number;
  probeViaMs: number;
  /** For leases, limits, claims and request statuses. */
  shortMs: number;
  /** For configurations, handovers and statistics. */
  longMs: number;
}

/** Suitable for data centres of one region. */
const DEFAULT_PEER_TIMEOUTS: PeerTimeouts = {
  acquireMarginMs: 500,
  probeMs: 500,
  probeViaMs: 1_200,
  shortMs: 1_000,
  longMs: 3_000,
};

/** Options of `TrpcPeerDirectory`. */
export interface TrpcPeerDirectoryOptions {
  clock: Clock;
  /** The fleet's shared secret. */
  secret: string;
  /** This VM's id. */
  from: VmId;
  /** The address of a VM's peer listener; undefined if it is not listed. */
  findAddress: (vm: VmId) => SocketAddress | undefined;
  tls?: ClientTls | undefined;
  timeouts?: PeerTimeouts;
}

/** A client with the address that it is bound to. */
interface Channel {
  address: string;
  port: number;
  agent: http.Agent;
  client: TRPCClient<PeerRouter>;
}

/** Caches one tRPC client for each VM. */
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

  /** Closes the connections to VMs for which `isWanted` is false. */
  removePeers(isWanted: (vm: VmId) => boolean): void {
    for (const [vm, peer] of this.#peers) {
      if (isWanted(vm)) continue;
      peer.close();
      this.#peers.delete(vm);
    }
  }

  /** Closes all connections. */
  close(): void {
    this.removePeers(() => false);
  }
}

class TrpcPeer extends PeerApi {
  readonly #vm: VmId;
  readonly #options: TrpcPeerDirectoryOptions;
  readonly #timeouts: PeerTimeouts;
  #channel: Channel | undefined;

  constructor(vm: VmId, options: TrpcPeerDirectoryOptions) {
    super();
    this.#vm = vm;
    this.#options = options;
    this.#timeouts = options.timeouts ?? DEFAULT_PEER_TIMEOUTS;
  }

  close(): void {
    this.#channel?.agent.destroy();
    this.#channel = undefined;
  }

  acquire(call: Peer.AcquireCall): Promise<Peer.AcquireAnswer> {
    const timeoutMs = call.holdMs + this.#timeouts.acquireMarginMs;
    return this.#send("acquire", timeoutMs, (client, options) => {
      return client.acquire.mutate(call, options);
    });
  }

  syncLeases(call: Peer.SyncCall): Promise<Peer.SyncAnswer> {
    return this.#send(
      "sync_leases",
      this.#timeouts.shortMs,
      (client, options) => client.syncLeases.mutate(call, options),
    );
  }

  probe(call: Peer.ProbeCall): Promise<Peer.ProbeAnswer> {
    return this.#send("probe", this.#timeouts.probeMs, (client, options) => {
      return client.probe.mutate(call, options);
    });
  }

  probeVia(target: VmId, call: Peer.ProbeCall): Promise<boolean> {
    return this.#send(
      "probe_via",
      this.#timeouts.probeViaMs,
      (client, options) => client.probeVia.mutate({ target, call }, options),
    );
  }

  fetchSnapshot(call: Peer.SnapshotCall): Promise<Peer.SnapshotAnswer> {
    return this.#send(
      "fetch_snapshot",
      this.#timeouts.longMs,
      (client, options) => client.fetchSnapshot.mutate(call, options),
    );
  }

  leaseLimit(call: Peer.LimitCall): Promise<Peer.LimitAnswer> {
    return this.#send(
      "lease_limit",
      this.#timeouts.shortMs,
      (client, options) => client.leaseLimit.mutate(call, options),
    );
  }

  claimRun(call: Peer.ClaimCall): Promise<Peer.ClaimAnswer> {
    return this.#send(
      "claim_run",
      this.#timeouts.shortMs,
      (client, options) => {
        return client.claimRun.mutate(call, options);
      },
    );
  }

  settleRun(call: Peer.SettleCall): Promise<void> {
    return this.#send(
      "settle_run",
      this.#timeouts.shortMs,
      (client, options) => client.settleRun.mutate(call, options),
    );
  }

  findFate(call: Peer.RequestStatusCall): Promise<Peer.RequestStatusAnswer> {
    return this.#send(
      "find_fate",
      this.#timeouts.shortMs,
      (client, options) => {
        return client.findFate.mutate(call, options);
      },
    );
  }

  handOver(call: Peer.HandOverCall): Promise<boolean> {
    return this.#send("hand_over", this.#timeouts.longMs, (client, options) => {
      return client.handOver.mutate(call, options);
    });
  }

  collectStats(): Promise<Peer.StatsAnswer> {
    return this.#send(
      "collect_stats",
      this.#timeouts.longMs,
      (client, options) => client.collectStats.mutate(undefined, options),
    );
  }

  noteSuspects(call: Peer.SuspectsCall): Promise<SuspectEntry[]> {
    return this.#send(
      "note_suspects",
      this.#timeouts.shortMs,
      (client, options) => client.noteSuspects.mutate(call, options),
    );
  }

  checkReach(upstream: VmId): Promise<boolean> {
    return this.#send(
      "check_reach",
      this.#timeouts.shortMs,
      (client, options) => client.checkReach.mutate(upstream, options),
    );
  }

  /**
   * Makes one call with a timeout. A connection can go silent for good without
   * an error, which only a timeout detects. The timeout also closes the call's
   * connection and all idle ones, so that the next call opens a new connection
   * instead of running into another timeout.
   */
  async #send<T>(
    step: string,
    timeoutMs: number,
    send: (
      client: TRPCClient<PeerRouter>,
      options: { context: PeerCallContext },
    ) => Promise<unknown>,
  ): Promise<T> {
    const channel = this.#openChannel(step);
    try {
      const answer = await send(channel.client, {
        context: { timeoutMs },
      });
      // JSON omits undefined members; reading them returns undefined again.
      return answer as T;
    } catch (thrown) {
      const cause = toError(thrown);
      const isTimeout = cause.cause instanceof PeerTimeoutError;
      throw new StepError(
        { step, peer: this.#vm, cause },
        isTimeout ? "Call to the VM timed out" : "Call to the VM failed",
      );
    }
  }

  #openChannel(step: string): Channel {
    const endpoint = this.#options.findAddress(this.#vm);
    if (endpoint === undefined) {
      throw new StepError({ step, peer: this.#vm }, "VM has no known address");
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
    timeout: IDLE_CONNECTION_TIMEOUT_MS,
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
        onTimeout: () => closeIdleConnections(agent),
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
