/**
 * The groups of records that make up a configuration.
 *
 * @module
 */
import type { RecordIndex } from "../version/index.ts";
import { compareStrings } from "../version/record_problem.ts";
import type { ConfigurationSource } from "./configuration_source.ts";

interface KnownGroup {
  version: number;
  records: unknown[];
}

/** Fetches from a source only the groups whose version changed. */
export class ConfigurationGroups {
  readonly #source: ConfigurationSource;
  #known = new Map<string, KnownGroup>();

  constructor(source: ConfigurationSource) {
    this.#source = source;
  }

  static create(source: ConfigurationSource): ConfigurationGroups {
    return new ConfigurationGroups(source);
  }

  /** All records of `index`, in an order that depends on it alone. */
  async fetchRecords(index: RecordIndex): Promise<unknown[]> {
    const names = [...index.groups.keys()].sort(compareStrings);
    const groups = new Map<string, KnownGroup>();
    for (const name of names) {
      const version = index.groups.get(name)!;
      groups.set(name, await this.#fetchGroup(name, version));
    }
    this.#known = groups;
    return [...groups.values()].flatMap((group) => group.records);
  }

  /**
   * Forgets the groups, so that the next index is read whole. A group that was
   * published twice under one version would otherwise stay as it was first
   * seen, and make this VM reject versions that the others accept.
   */
  clear(): void {
    this.#known.clear();
  }

  async #fetchGroup(name: string, version: number): Promise<KnownGroup> {
    const known = this.#known.get(name);
    if (known?.version === version) return known;
    const records = await this.#source.fetchGroup(name, version);
    return { version, records };
  }
}
