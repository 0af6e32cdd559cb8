/**
 * Lease of a request that another VM runs.
 *
 * @module
 */
import type { UpstreamTransport } from "../../connection/upstream_transport.ts";
import { type LeaseId, toId, type VmId } from "../../ids.ts";
import { HeldLease } from "../services.ts";

const NO_PRIORITY = 0;

/** Options of `ForwardedLease`. */
export interface ForwardedLeaseOptions {
  number: number;
  /** The VM that runs the request. */
  vm: VmId;
  transport: UpstreamTransport;
  isLive: () => boolean;
  onRelease: () => void;
}

/** Lease of one request at another VM, which chooses the replica. */
export class ForwardedLease extends HeldLease {
  readonly lease: LeaseId;
  readonly upstream: VmId;
  readonly priority = NO_PRIORITY;
  override readonly reason = "forwarded";
  override readonly peerTransport: UpstreamTransport;
  readonly preempted: AbortSignal = new AbortController().signal;
  readonly #isLive: () => boolean;
  readonly #onRelease: () => void;
  #isReleased = false;

  constructor(options: ForwardedLeaseOptions) {
    super();
    this.lease = toId<LeaseId>(`forwarded-${options.number}`);
    this.upstream = options.vm;
    this.peerTransport = options.transport;
    this.#isLive = options.isLive;
    this.#onRelease = options.onRelease;
  }

  static create(options: ForwardedLeaseOptions): ForwardedLease {
    return new ForwardedLease(options);
  }

  isValid(): boolean {
    return true;
  }

  /** The other VM deals with replicas that are silent. */
  override isUpstreamAlive(): boolean {
    return this.#isLive();
  }

  noteProgress(): void {}

  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#onRelease();
  }
}
