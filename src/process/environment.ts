/**
 * Everything a VM's code takes from outside, so that a test can replace it.
 *
 * @module
 */
import type { UpstreamTransport } from "../connection/upstream_transport.ts";
import type { DataCentre, Incarnation, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import type { PeerDirectory } from "./peer_api.ts";
import type { Random } from "./random.ts";

/** What the process is and what requests reach. */
export interface LocalEnvironment {
  vm: VmId;
  incarnation: Incarnation;
  dataCentre: DataCentre;
  clock: Clock;
  random: Random;
  log: Log;
  upstreams: UpstreamTransport;
  /** Absent where ids are the callers' own and no other VM knows of them. */
  peers?: PeerDirectory;
}

/** What a VM of a published fleet reaches. */
export interface Environment extends LocalEnvironment {
  peers: PeerDirectory;
}
