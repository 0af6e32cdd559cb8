/**
 * Passes requests on to VMs that reach replicas which this VM does not.
 *
 * Callers keep using a VM that has lost its links, and what they send there
 * could only be refused. Other VMs say in their heartbeats which pools they do
 * not reach, so that nothing is passed on where a pool is down for all.
 *
 * @module
 */
import type { UpstreamTransport } from "../../connection/upstream_transport.ts";
import type { PoolName, VmId } from "../../ids.ts";
import type { ReplicaLinks } from "../placement/replica_links.ts";
import type { Random } from "../random.ts";
import type { FleetPeer } from "../seeded_fleet/index.ts";
import type { HeldLease, LeaseRequest } from "../services.ts";
import { ForwardedLease } from "./forwarded_lease.ts";

/** Requests that other VMs run for this one at a time. */
const MAX_IN_FLIGHT = 1_000;

/** Options of `RequestForwarding`. */
export interface RequestForwardingOptions {
  random: Random;
  links: ReplicaLinks;
  transport: UpstreamTransport;
  listLive: () => FleetPeer[];
  /** Version of the active configuration; 0 before the first. */
  getConfigVersion: () => number;
}

/** Chooses VMs for requests that this VM cannot send to replicas. */
export class RequestForwarding {
  readonly #options: RequestForwardingOptions;
  #inFlight = 0;
  #count = 0;

  constructor(options: RequestForwardingOptions) {
    this.#options = options;
  }

  static create(options: RequestForwardingOptions): RequestForwarding {
    return new RequestForwarding(options);
  }

  /** Requests that other VMs run for this one now. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Requests passed on since the start. */
  get count(): number {
    return this.#count;
  }

  /**
   * Leases a request to another VM; undefined if it is to run here, because this
   * VM reaches the pool, no other does, or it came from another VM.
   */
  createLease(request: LeaseRequest): HeldLease | undefined {
    if (request.isForwarded || this.#inFlight >= MAX_IN_FLIGHT) {
      return undefined;
    }
    if (!this.#isCutOff(request)) return undefined;
    const { random, transport } = this.#options;
    const vm = random.pick(this.#listReaching(request.pool, request.avoid));
    if (vm === undefined) return undefined;
    this.#inFlight += 1;
    this.#count += 1;
    return ForwardedLease.create({
      number: this.#count,
      vm,
      transport,
      isLive: () => this.#findLive(vm) !== undefined,
      onRelease: () => this.#inFlight -= 1,
    });
  }

  /**
   * Whether this VM reaches no replica of the pool, or failed to reach one for
   * this request and none since.
   */
  #isCutOff({ pool, avoid }: LeaseRequest): boolean {
    const { links } = this.#options;
    return links.isLost(pool) ||
      links.isDoubtful(pool) && avoid.some((id) => links.isUnreachable(id));
  }

  /** VMs that may run a request for the pool. */
  #listReaching(pool: PoolName, avoid: readonly VmId[]): VmId[] {
    const { listLive, getConfigVersion } = this.#options;
    return listLive()
      .map(({ heartbeat }) => heartbeat)
      .filter(({ isServing, isDraining }) => isServing && !isDraining)
      .filter(({ configVersion }) => configVersion >= getConfigVersion())
      .filter(({ lostPools }) => !lostPools?.includes(pool))
      .map(({ vm }) => vm)
      .filter((vm) => !avoid.includes(vm));
  }

  #findLive(vm: VmId): FleetPeer | undefined {
    return this.#options.listLive()
      .find(({ heartbeat }) => heartbeat.vm === vm);
  }
}
