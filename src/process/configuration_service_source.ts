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

const RESPONSE_TIMEOUT_MS = 2_000;
const HTTP_NOT_MODIFIED = 304;
const HTTP_OK = 200;

/** One HTTP request to the service. */
interface ReadRequest {
  url: string;
  step: string;
  path: string;
  /** How long the service may hold the request open. */
  waitMs: number;
  signal: AbortSignal;
}

/**
 * The configuration service at one or several addresses. A long poll goes to
 * all of them at once, so that one that is stale, down or silent does not hide
 * a newer version that another has.
 */
export class ServiceSource extends ConfigurationSource {
  readonly #urls: string[];
  readonly #clock: Clock;
  readonly #answerTimeoutMs: number;
  /** Address of the last index; its groups are read there first. */
  #indexUrl: string;

  constructor(
    options: { urls: string[]; clock: Clock; answerTimeoutMs?: number },
  ) {
    super();
    this.#urls = options.urls.map((url) => url.replace(/\/+$/, ""));
    this.#clock = options.clock;
    this.#answerTimeoutMs = options.answerTimeoutMs ?? RESPONSE_TIMEOUT_MS;
    this.#indexUrl = this.#urls[0] ?? "";
  }

  /**
   * `urls` are base URLs (`http://IP:PORT`). `answerTimeoutMs` is the time
   * allowed beyond the wait that a long poll requests of the service.
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
   * Resolves with the first new value from any address, or with undefined once
   * all have answered or failed. Rejects only if all of them failed.
   */
  async #watchAll<T>(
    call: Omit<ReadRequest, "url">,
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

  /** Reads the body; undefined for status 304. */
  #read(read: ReadRequest): Promise<string | undefined> {
    const context = { step: read.step, peer: read.url };
    return new Promise((resolve, reject) => {
      // A half-open connection delivers neither data nor an error. Without this
      // deadline the long poll would never end, and the VM would stay on an old
      // version with no log line.
      const cancelDeadline = this.#clock.startTimer(
        read.waitMs + this.#answerTimeoutMs,
        () => request.destroy(new Error("No response before the deadline")),
      );
      const fail = (message: string, cause?: Error) => {
        cancelDeadline();
        reject(new StepError({ ...context, cause }, message));
      };
      // No keep-alive: a reused connection may be half-open.
      const request = http.get(
        read.url + read.path,
        { agent: false, signal: read.signal },
        (response) => {
          const chunks: Buffer[] = [];
          let bytes = 0;
          response.on("data", (chunk: Buffer) => {
            bytes += chunk.length;
            if (bytes > MAX_VALUE_BYTES) {
              request.destroy(new Error("The value is larger than 1 MiB"));
              return;
            }
            chunks.push(chunk);
          });
          response.on(
            "error",
            (error) => fail("The response was truncated", error),
          );
          response.on("end", () => {
            cancelDeadline();
            if (response.statusCode === HTTP_NOT_MODIFIED) resolve(undefined);
            else if (response.statusCode === HTTP_OK) {
              resolve(Buffer.concat(chunks).toString("utf8"));
            } else fail(`The service returned status ${response.statusCode}`);
          });
        },
      );
      request.on("error", (error) => fail("The service failed", error));
    });
  }
}

/** Resolves with the first defined result, or undefined once all are done. */
function waitFirst<T>(
  tasks: Promise<T | undefined>[],
): Promise<T | undefined> {
  return new Promise((resolve) => {
    let pending = tasks.length;
    for (const task of tasks) {
      task.then((value) => {
        pending -= 1;
        if (value !== undefined || pending === 0) resolve(value);
      });
    }
  });
}
