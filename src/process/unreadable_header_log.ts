/**
 * Log lines on what upstreams ask and cannot be read.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { UnreadableHeader } from "../request/upstream_signals.ts";
import type { Log } from "./log.ts";

/** Characters of a value that a line quotes. */
const MOST_QUOTED = 80;
/** Upstreams and headers that are remembered. */
const MOST_REMEMBERED = 1_000;

/** Writes one line for each value of an upstream's header, not for each answer. */
export class UnreadableHeaderLog {
  readonly #log: Log;
  readonly #written = new Map<string, string>();

  constructor(log: Log) {
    this.#log = log;
  }

  static create(log: Log): UnreadableHeaderLog {
    return new UnreadableHeaderLog(log);
  }

  /** Takes in what could not be read in an answer of `upstream`. */
  note(upstream: VmId, headers: readonly UnreadableHeader[]): void {
    for (const { name, value } of headers) {
      const key = `${upstream} ${name}`;
      if (this.#written.get(key) === value) continue;
      if (this.#written.size >= MOST_REMEMBERED) this.#written.clear();
      this.#written.set(key, value);
      this.#log.warn("upstream_header_unreadable", {
        peer: upstream,
        header: name,
        value: value.slice(0, MOST_QUOTED),
      });
    }
  }
}
