/**
 * Injected dependencies of a VM's code, which tests replace.
 *
 * @module
 */
import type { UpstreamTransport } from "../connection/upstream_transport.ts";
import type { DataCentre, Incarnation, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import type { PeerDirectory } from "./peer_api.ts";
import type { Random } from "./random.ts";

/** The identity of the process and its dependencies for serving requests. */
export interface LocalEnvironment {
  vm: VmId;
  incarnation: Incarnation;
  dataCentre: DataCentre;
  clock: Clock;
  random: Random;
  log: Log;
  upstreams: UpstreamTransport;
  /** Absent if callers choose the request ids, which no other VM knows. */
  peers?: PeerDirectory;
}

/** Environment of a VM in a published fleet. */
export interface Environment extends LocalEnvironment {
  peers: PeerDirectory;
}
