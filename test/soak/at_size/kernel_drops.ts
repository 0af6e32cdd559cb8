/**
 * Datagrams that the kernel drops because a receive buffer is full.
 *
 * @module
 */
import { readFileSync } from "node:fs";

const STATISTICS = "/proc/net/snmp";
const UDP_PREFIX = "Udp: ";
const FULL_BUFFER = "RcvbufErrors";

/** Counts the drops of all sockets of the machine between two moments. */
export class KernelDrops {
  #before = 0;
  #after = 0;

  static create(): KernelDrops {
    return new KernelDrops();
  }

  get sum(): number {
    return this.#after - this.#before;
  }

  start(): void {
    this.#before = readDrops();
  }

  stop(): void {
    this.#after = readDrops();
  }
}

/** 0 where the kernel tells nothing. */
function readDrops(): number {
  const [names = [], values = []] = readFileSync(STATISTICS, "utf8").split("\n")
    .filter((line) => line.startsWith(UDP_PREFIX))
    .map((line) => line.slice(UDP_PREFIX.length).split(" "));
  return Number(values[names.indexOf(FULL_BUFFER)] ?? 0);
}
