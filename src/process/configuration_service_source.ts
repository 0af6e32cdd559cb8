/**
 * Reads the platform's configuration service over HTTP.
 *
 * @module
 */
import http from "node:http";
import { StepError, toError } from "../errors.ts";
import type { Clock } from "./clock.ts";
import type { RecordIndex } from "../version/index.ts";
import {
  ConfigurationSource,
  MAX_VALUE_BYTES,
  parseGroupText,
  parseIndexText,
  parseMembershipText,
} from "./configuration_source.ts";

const ANSWER_TIMEOUT_MS = 2_000;
const NOT_MODIFIED = 304;
const OK = 200;

interface Read {
  url: string;
  step: string;
  path: string;
  /** How long the service itself may hold the call. */
  waitMs: number;
  signal: AbortSignal;
}

/**
 * The configuration service at one or several addresses. A watch waits at all
 * of them at once: one that is stale, down or silent cannot hide a newer
 * version that another has.
 */
export class ServiceSource extends ConfigurationSource {
  readonly #urls: string[];
  readonly #clock: Clock;
  readonly #answerTimeoutMs: number;
  /** The address that gave the last index; its groups belong to it. */
  #indexUrl: string;

  constructor(
    options: { urls: string[]; clock: Clock; answerTimeoutMs?: number },
  ) {
    super();
    this.#urls = options.urls.map((url) => url.replace(/\/+$/, ""));
    this.#clock = options.clock;
    this.#answerTimeoutMs = options.answerTimeoutMs ?? ANSWER_TIMEOUT_MS;
    this.#indexUrl = this.#urls[0] ?? "";
  }

  /**
   * `urls` are base addresses (`http://IP:PORT`); `answerTimeoutMs` is the
   * silence allowed beyond the time that a watch asks the service to wait.
   */
  static create(
    options: { urls: string[]; clock: Clock; answerTimeoutMs?: number },
  ): ServiceSource {
    if (options.urls.length === 0) {
      throw new Error("The configuration service needs at least one URL");
    }
    return new ServiceSource(options);
  }

  async fetchIndex(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RecordIndex | undefined> {
    const path = `/v1/values/index?after=${after}&wait_ms=${waitMs}`;
    const call = { step: "fetch_index", path, waitMs, signal };
    const found = await this.#watchAll(
      call,
      (text, url) =>
        parseIndexText(text, after, { step: call.step, peer: url }),
    );
    if (found === undefined) return undefined;
    this.#indexUrl = found.url;
    return found.value;
  }

  async fetchGroup(name: string, version: number): Promise<unknown[]> {
    const group = encodeURIComponent(name);
    const path = `/v1/values/groups/${group}/${version}`;
    const others = this.#urls.filter((url) => url !== this.#indexUrl);
    const signal = new AbortController().signal;
    let lastError: Error | undefined;
    for (const url of [this.#indexUrl, ...others]) {
      try {
        const call = { url, step: "fetch_group", path, waitMs: 0, signal };
        const text = await this.#read(call);
        if (text !== undefined) {
          return parseGroupText(text, { step: call.step, peer: url });
        }
      } catch (error) {
        lastError = toError(error);
      }
    }
    throw lastError ?? new StepError(
      { step: "fetch_group", peer: this.#indexUrl },
      `The service does not have group ${name} at version ${version}`,
    );
  }

  async fetchMembership(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<unknown | undefined> {
    const path = `/v1/membership?after=${after}&wait_ms=${waitMs}`;
    const call = { step: "fetch_membership", path, waitMs, signal };
    const found = await this.#watchAll(
      call,
      (text, url) =>
        parseMembershipText(text, after, { step: call.step, peer: url }),
    );
    return found?.value;
  }

  /**
   * Resolves with the first news from any address, or with undefined once
   * every one answered or failed; rejects only when all of them failed.
   */
  async #watchAll<T>(
    call: Omit<Read, "url">,
    parse: (text: string, url: string) => T | undefined,
  ): Promise<{ url: string; value: T } | undefined> {
    const controller = new AbortController();
    const signal = AbortSignal.any([call.signal, controller.signal]);
    const errors: Error[] = [];
    const watchOne = async (url: string) => {
      try {
        const text = await this.#read({ ...call, url, signal });
        if (text === undefined) return undefined;
        const value = parse(text, url);
        return value === undefined ? undefined : { url, value };
      } catch (error) {
        errors.push(toError(error));
        return undefined;
      }
    };
    try {
      const found = await waitFirst(this.#urls.map(watchOne));
      if (found !== undefined) return found;
      if (errors.length === this.#urls.length) throw errors[0]!;
      return undefined;
    } finally {
      controller.abort();
    }
  }

  /** The body, or undefined for 304. */
  #read(read: Read): Promise<string | undefined> {
    const place = { step: read.step, peer: read.url };
    return new Promise((resolve, reject) => {
      // A connection that went silent for good gives neither data nor an
      // error: without this deadline the watch would never end and the VM
      // would stay on an old version with nothing in its log.
      const cancelDeadline = this.#clock.startTimer(
        read.waitMs + this.#answerTimeoutMs,
        () => request.destroy(new Error("No answer before the deadline")),
      );
      const fail = (message: string, cause?: Error) => {
        cancelDeadline();
        reject(new StepError({ ...place, cause }, message));
      };
      // Each read opens its own connection: a kept one may be half dead.
      const request = http.get(
        read.url + read.path,
        { agent: false, signal: read.signal },
        (response) => {
          const chunks: Buffer[] = [];
          let bytes = 0;
          response.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > MAX_VALUE_BYTES) {
              request.destroy(new Error("The value is over a megabyte"));
              return;
            }
            chunks.push(chunk);
          });
          response.on("error", (error) => fail("The answer broke off", error));
          response.on("end", () => {
            cancelDeadline();
            if (response.statusCode === NOT_MODIFIED) resolve(undefined);
            else if (response.statusCode === OK) {
              resolve(Buffer.concat(chunks).toString("utf8"));
            } else fail(`The service answered ${response.statusCode}`);
          });
        },
      );
      request.on("error", (error) => fail("The service failed", error));
    });
  }
}

/** The first defined result, or undefined once all are over. */
function waitFirst<T>(
  tasks: Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve) => {
    let left = tasks.length;
    for (const task of tasks) {
      task.then((value) => {
        left -= 1;
        if (value !== undefined || left === 0) resolve(value);
      });
    }
  });
}
