/**
 * Reads configurations from a directory of JSON files, to run a VM without the
 * platform's services.
 *
 * @module
 */
import { open } from "node:fs/promises";
import { join } from "node:path";
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

const POLL_INTERVAL_MS = 1_000;

/** Reads `index.json`, `groups/NAME/VERSION.json` and `membership.json`. */
export class DirectorySource extends ConfigurationSource {
  readonly #directory: string;
  readonly #clock: Clock;

  constructor(options: { directory: string; clock: Clock }) {
    super();
    this.#directory = options.directory;
    this.#clock = options.clock;
  }

  static create(
    options: { directory: string; clock: Clock },
  ): DirectorySource {
    return new DirectorySource(options);
  }

  fetchIndex(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RecordIndex | undefined> {
    const context = { step: "fetch_index", peer: this.#directory };
    const readIndex = async () => {
      const text = await this.#read("index.json", context.step);
      return parseIndexText(text, after, context);
    };
    return this.#readUntil(readIndex, waitMs, signal);
  }

  async fetchGroup(name: string, version: number): Promise<unknown[]> {
    const path = join("groups", name, `${version}.json`);
    const context = { step: "fetch_group", peer: this.#directory };
    return parseGroupText(await this.#read(path, context.step), context);
  }

  fetchMembership(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<unknown | undefined> {
    const context = { step: "fetch_membership", peer: this.#directory };
    const readList = async () => {
      const text = await this.#read("membership.json", context.step);
      return parseMembershipText(text, after, context);
    };
    return this.#readUntil(readList, waitMs, signal);
  }

  async #readUntil<T>(
    readOnce: () => Promise<T | undefined>,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<T | undefined> {
    const endsAt = this.#clock.now() + waitMs;
    while (true) {
      const value = await readOnce();
      if (value !== undefined || signal.aborted) return value;
      const remainingMs = endsAt - this.#clock.now();
      if (remainingMs <= 0) return undefined;
      await this.#clock.sleep(Math.min(POLL_INTERVAL_MS, remainingMs), signal);
    }
  }

  async #read(path: string, step: string): Promise<string> {
    try {
      const file = await open(join(this.#directory, path), "r");
      try {
        const { size } = await file.stat();
        if (size > MAX_VALUE_BYTES) {
          throw new Error("The value is larger than 1 MiB");
        }
        return await file.readFile("utf8");
      } finally {
        await file.close();
      }
    } catch (error) {
      const cause = toError(error);
      throw new StepError(
        { step, peer: this.#directory, cause },
        `Could not read ${path}`,
      );
    }
  }
}
