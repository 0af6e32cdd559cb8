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

/** What the process is and what it reaches. */
export interface Environment {
  vm: VmId;
  incarnation: Incarnation;
  dataCentre: DataCentre;
  clock: Clock;
  random: Random;
  log: Log;
  peers: PeerDirectory;
  upstreams: UpstreamTransport;
}
