/**
 * Executes tRPC calls of other VMs.
 *
 * tRPC's adapter for Node converts each request to a `Request` of the fetch API
 * and back, which costs more than the rest of the call. This module implements
 * the same protocol on Node's own HTTP objects.
 *
 * @module
 */
import type { TRPCError } from "@trpc/server";
import {
  callTRPCProcedure,
  getTRPCErrorFromUnknown,
  getTRPCErrorShape,
} from "@trpc/server";
import { getHTTPStatusCodeFromError } from "@trpc/server/http";
import type { PeerApi } from "../process/peer_api.ts";
import { PEER_ROUTER } from "./peer_router.ts";

const PROCEDURES: ReadonlySet<string> = new Set(
  Object.keys(PEER_ROUTER._def.procedures),
);

/** A serialized tRPC response. */
export interface PeerAnswer {
  status: number;
  text: string;
  /** The error of a failed call, for the log. */
  error: TRPCError | undefined;
}

/** Whether `path` is the name of a `PeerApi` method. */
export function isPeerProcedure(path: string): boolean {
  return PROCEDURES.has(path);
}

/** Executes procedure `path` with the JSON input `body`; never rejects. */
export async function answerPeerCall(
  path: string,
  body: Uint8Array,
  options: { api: PeerApi },
): Promise<PeerAnswer> {
  try {
    const data = await callTRPCProcedure({
      router: PEER_ROUTER,
      path,
      getRawInput: () => Promise.resolve(parseInput(body)),
      ctx: { api: options.api },
      type: "mutation",
      signal: undefined,
      batchIndex: 0,
    });
    return {
      status: 200,
      text: JSON.stringify({ result: { data } }),
      error: undefined,
    };
  } catch (thrown) {
    return toErrorAnswer(path, getTRPCErrorFromUnknown(thrown));
  }
}

function parseInput(body: Uint8Array): unknown {
  return body.length === 0 ? undefined : JSON.parse(body.toString());
}

function toErrorAnswer(path: string, error: TRPCError): PeerAnswer {
  const shape = getTRPCErrorShape({
    config: PEER_ROUTER._def._config,
    ctx: undefined,
    error,
    type: "mutation",
    path,
    input: undefined,
  });
  return {
    status: getHTTPStatusCodeFromError(error),
    text: JSON.stringify({ error: shape }),
    error,
  };
}
