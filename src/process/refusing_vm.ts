/**
 * A VM whose settings cannot be used: it serves nothing and says so.
 *
 * Without it the process would end and be started again for good, and callers
 * that hold its address would see connections break, which tells them nothing
 * of whether their request ran.
 *
 * @module
 */
import {
  AnsweringListener,
  buildJsonAnswer,
} from "../connection/answering_listener.ts";
import type { Endpoint } from "../connection/endpoint.ts";
import { toError } from "../errors.ts";
import type { Log } from "./log.ts";
import { readListeners } from "./routed_settings.ts";

const SERVICE_UNAVAILABLE = 503;
/** An operator has to mend the settings; another VM can serve at once. */
const RETRY_AFTER_SECONDS = 1;

/** Answers 503 to everything that was not read further. */
export class RefusingVm {
  readonly #listeners: AnsweringListener[] = [];
  readonly #log: Log;

  constructor(log: Log) {
    this.#log = log;
  }

  static create(log: Log): RefusingVm {
    return new RefusingVm(log);
  }

  /**
   * Listens where the settings at `path` say, as far as they can be read.
   * Resolves with the number of places; none leaves nothing to answer at.
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
    const listener = AnsweringListener.create({
      name: "refusing",
      log: this.#log,
      buildAnswer: () => ({
        ...buildJsonAnswer(SERVICE_UNAVAILABLE, {
          error: "The settings of this VM cannot be used; nothing was run",
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
