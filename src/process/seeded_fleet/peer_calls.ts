/**
 * What a VM fetches from another one that has more than it.
 *
 * @module
 */
import type { UpstreamTransport } from "../../connection/upstream_transport.ts";
import { fetchWhole, readReport } from "../../connection/whole_call.ts";
import type { VmId } from "../../ids.ts";
import type { PlacementEntry } from "../placement/index.ts";
import type { HandedState, KnownVersions } from "./state_follower.ts";

/** Configuration and replicas that are newer than the asker's. */
export const STATE_PATH = "/v1/state";
/** What replicas have cached. */
export const PREFIXES_PATH = "/v1/prefixes";
const LIMIT_MS = 1_000;
const MAX_BYTES = 8_388_608;

/** Calls of other VMs, by the addresses that they tell. */
export class PeerCalls {
  readonly #transport: UpstreamTransport;

  constructor(transport: UpstreamTransport) {
    this.#transport = transport;
  }

  static create(transport: UpstreamTransport): PeerCalls {
    return new PeerCalls(transport);
  }

  /** What `vm` has beyond `known`; rejects `StepError`. */
  fetchState(vm: VmId, known: KnownVersions): Promise<HandedState> {
    const query = new URLSearchParams({
      config: String(known.configVersion),
      list: String(known.listRevision),
    });
    return this.#fetch(vm, `${STATE_PATH}?${query}`);
  }

  /** What `vm` knows of replicas' caches; rejects `StepError`. */
  fetchPrefixes(vm: VmId): Promise<PlacementEntry[]> {
    return this.#fetch(vm, PREFIXES_PATH);
  }

  async #fetch<T>(vm: VmId, path: string): Promise<T> {
    const step = "fetch_from_peer";
    const answer = await fetchWhole(this.#transport, vm, {
      step,
      method: "GET",
      path,
      limitMs: LIMIT_MS,
      maxBytes: MAX_BYTES,
    });
    const parse = (value: unknown) => value as T;
    return readReport(answer, { step, upstream: vm, parse });
  }
}

/** The versions that a call's query names. */
export function parseKnownVersions(query: URLSearchParams): KnownVersions {
  return {
    configVersion: Number(query.get("config") ?? 0),
    listRevision: Number(query.get("list") ?? 0),
  };
}
