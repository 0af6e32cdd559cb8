/**
 * Cache of the record groups of a configuration.
 *
 * @module
 */
import type { RecordIndex } from "../version/index.ts";
import { compareStrings } from "../version/record_problem.ts";
import type { ConfigurationSource } from "./configuration_source.ts";

interface CachedGroup {
  version: number;
  records: unknown[];
}

/** Fetches only the groups whose version has changed. */
export class ConfigurationGroups {
  readonly #source: ConfigurationSource;
  #cached = new Map<string, CachedGroup>();

  constructor(source: ConfigurationSource) {
    this.#source = source;
  }

  static create(source: ConfigurationSource): ConfigurationGroups {
    return new ConfigurationGroups(source);
  }

  /** Fetches all records of `index`, in an order that depends only on it. */
  async fetchRecords(index: RecordIndex): Promise<unknown[]> {
    const names = [...index.groups.keys()].sort(compareStrings);
    const groups = new Map<string, CachedGroup>();
    for (const name of names) {
      const version = index.groups.get(name)!;
      groups.set(name, await this.#fetchGroup(name, version));
    }
    this.#cached = groups;
    return [...groups.values()].flatMap((group) => group.records);
  }

  /**
   * Clears the cache, so that all groups of the next index are fetched. A group
   * that was published twice under one version would otherwise stay cached with
   * its first content, and this VM could reject versions that others accept.
   */
  clear(): void {
    this.#cached.clear();
  }

  async #fetchGroup(name: string, version: number): Promise<CachedGroup> {
    const cached = this.#cached.get(name);
    if (cached?.version === version) return cached;
    const records = await this.#source.fetchGroup(name, version);
    return { version, records };
  }
}
