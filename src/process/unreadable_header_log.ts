/**
 * Logs upstream headers whose values are invalid.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import type { UnreadableHeader } from "../request/upstream_signals.ts";
import type { Log } from "./log.ts";

/** Characters of a value that are logged. */
const MAX_QUOTED_CHARACTERS = 80;
/** Limit on remembered pairs of upstream and header. */
const MAX_REMEMBERED = 1_000;

/** Logs each new value of an upstream's header once, not once per answer. */
export class UnreadableHeaderLog {
  readonly #log: Log;
  readonly #written = new Map<string, string>();

  constructor(log: Log) {
    this.#log = log;
  }

  static create(log: Log): UnreadableHeaderLog {
    return new UnreadableHeaderLog(log);
  }

  /** Logs the invalid headers of an answer of `upstream`. */
  note(upstream: VmId, headers: readonly UnreadableHeader[]): void {
    for (const { name, value } of headers) {
      const key = `${upstream} ${name}`;
      if (this.#written.get(key) === value) continue;
      if (this.#written.size >= MAX_REMEMBERED) this.#written.clear();
      this.#written.set(key, value);
      this.#log.warn("upstream_header_unreadable", {
        peer: upstream,
        header: name,
        value: value.slice(0, MAX_QUOTED_CHARACTERS),
      });
    }
  }
}
