/**
 * HTTP calls that fetch newer state and cached prefixes from another VM.
 *
 * @module
 */
import type { UpstreamTransport } from "../../connection/upstream_transport.ts";
import { fetchBuffered, parseReport } from "../../connection/buffered_call.ts";
import type { VmId } from "../../ids.ts";
import { getEra } from "../placement/index.ts";
import type { PlacementEntry } from "../placement/index.ts";
import type { KnownVersions, NewerState } from "./newer_state.ts";

/** Path for configuration and replicas that are newer than the caller's. */
export const STATE_PATH = "/v1/state";
/** Path for the prefixes that replicas have cached. */
export const PREFIXES_PATH = "/v1/prefixes";
/** Path for whether the VM reaches a replica; the id follows. */
export const REACH_PATH = "/v1/reach/";
const FETCH_TIMEOUT_MS = 1_000;
/** Longer than a check of a replica takes. */
const REACH_TIMEOUT_MS = 400;
const MAX_ANSWER_BYTES = 8_388_608;

/** Calls to other VMs at the state endpoints of their heartbeats. */
export class PeerCalls {
  readonly #transport: UpstreamTransport;

  constructor(transport: UpstreamTransport) {
    this.#transport = transport;
  }

  static create(transport: UpstreamTransport): PeerCalls {
    return new PeerCalls(transport);
  }

  /** State of `vm` that is newer than `known`; rejects with `StepError`. */
  fetchState(
    vm: VmId,
    known: KnownVersions,
    options: { freshConnection: boolean },
  ): Promise<NewerState> {
    const query = new URLSearchParams({
      config: String(known.configVersion),
      list: String(known.list.revision),
      era: String(getEra(known.list)),
    });
    return this.#fetch(vm, `${STATE_PATH}?${query}`, options);
  }

  /** Replica caches as `vm` knows them; rejects with `StepError`. */
  fetchPrefixes(vm: VmId): Promise<PlacementEntry[]> {
    return this.#fetch(vm, PREFIXES_PATH);
  }

  /** Whether `vm` reaches the replica now; rejects with `StepError`. */
  async fetchReach(vm: VmId, replica: VmId): Promise<boolean> {
    const path = `${REACH_PATH}${encodeURIComponent(replica)}`;
    const answer = await this.#fetch<{ isReached: boolean }>(vm, path, {
      timeoutMs: REACH_TIMEOUT_MS,
    });
    return answer.isReached;
  }

  async #fetch<T>(
    vm: VmId,
    path: string,
    options: { freshConnection?: boolean; timeoutMs?: number } = {},
  ): Promise<T> {
    const step = "fetch_from_peer";
    const answer = await fetchBuffered(this.#transport, vm, {
      step,
      method: "GET",
      path,
      timeoutMs: FETCH_TIMEOUT_MS,
      maxBytes: MAX_ANSWER_BYTES,
      ...options,
    });
    const parse = (value: unknown) => value as T;
    return parseReport(answer, { step, upstream: vm, parse });
  }
}

/** Parses the versions in a call's query. */
export function parseKnownVersions(query: URLSearchParams): KnownVersions {
  return {
    configVersion: Number(query.get("config") ?? 0),
    list: {
      revision: Number(query.get("list") ?? 0),
      era: Number(query.get("era") ?? 0),
    },
  };
}
