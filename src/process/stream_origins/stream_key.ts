/**
 * The keys by which VMs tell each other of streams.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type StreamKey, toId } from "../../ids.ts";
import type { StreamContent, StreamName } from "../stream_origin_source.ts";

/** 64 bits, so that keys of different streams do not meet. */
const KEY_LENGTH = 16;

/**
 * Computes the key of a stream. Callers choose ids of any length, and those of
 * different workspaces may be the same.
 */
export function computeStreamKey(
  stream: StreamName | StreamContent,
): StreamKey {
  const fields = "requestId" in stream
    ? [stream.workspace, stream.requestId]
    : [
      stream.fingerprint,
      stream.parts,
      stream.promptTokens,
      stream.maxTokens,
    ];
  const hash = createHash("sha256").update(JSON.stringify(fields));
  return toId<StreamKey>(hash.digest("hex").slice(0, KEY_LENGTH));
}
