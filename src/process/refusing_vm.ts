/**
 * Stands in for a VM whose settings are invalid and refuses all requests.
 *
 * Otherwise the process would restart in an endless loop, and callers that use
 * its address would see broken connections, which do not tell them whether
 * their request was executed.
 *
 * @module
 */
import {
  buildJsonAnswer,
  SimpleListener,
} from "../connection/simple_listener.ts";
import type { Endpoint } from "../connection/endpoint.ts";
import { toError } from "../errors.ts";
import type { Log } from "./log.ts";
import { readListeners } from "./routed_settings.ts";

const SERVICE_UNAVAILABLE = 503;
/**
 * Short, since another VM can serve at once; this one has to wait for an
 * operator.
 */
const RETRY_AFTER_SECONDS = 1;

/** Answers every request with 503 without reading further. */
export class RefusingVm {
  readonly #listeners: SimpleListener[] = [];
  readonly #log: Log;

  constructor(log: Log) {
    this.#log = log;
  }

  static create(log: Log): RefusingVm {
    return new RefusingVm(log);
  }

  /**
   * Listens on the endpoints in the settings at `path`, as far as they can be
   * read. Resolves to the number of listeners, which may be 0.
   */
  async start(path: string): Promise<number> {
    for (const endpoint of this.#findEndpoints(path)) {
      await this.#startListener(endpoint);
    }
    return this.#listeners.length;
  }

  stop(): void {
    this.#listeners.forEach((listener) => listener.closeAll());
    this.#listeners.forEach((listener) => void listener.stop());
  }

  async #startListener(endpoint: Endpoint): Promise<void> {
    const listener = SimpleListener.create({
      name: "refusing",
      log: this.#log,
      buildAnswer: () => ({
        ...buildJsonAnswer(SERVICE_UNAVAILABLE, {
          error:
            "This VM cannot serve: its settings are invalid; nothing was run",
        }),
        headers: { "retry-after": String(RETRY_AFTER_SECONDS) },
      }),
    });
    try {
      await listener.startAt(endpoint);
      this.#listeners.push(listener);
    } catch (thrown) {
      const error = toError(thrown).message;
      this.#log.error("refusing_listen_failed", { endpoint, error });
    }
  }

  #findEndpoints(path: string): Endpoint[] {
    try {
      return readListeners(path);
    } catch (thrown) {
      const error = toError(thrown).message;
      this.#log.error("listeners_unknown", { path, error });
      return [];
    }
  }
}
