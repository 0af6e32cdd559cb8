/**
 * What entry VMs tell each other in datagrams.
 *
 * A datagram may be lost, late or doubled: each one says all that matters of
 * its sender, and what it says of single requests only helps decisions.
 *
 * @module
 */
import * as z from "zod";
import type { DataCentre, Incarnation, VmId } from "../../ids.ts";
import { toError } from "../../errors.ts";

const TEXT = z.string();
const COUNT = z.number();
const VM = TEXT.transform((text) => text as VmId);

const BEAT = z.object({
  kind: z.literal("beat"),
  vm: VM,
  incarnation: TEXT.transform((text) => text as Incarnation),
  /** Counts the messages of one incarnation. */
  sequence: COUNT,
  dataCentre: TEXT.transform((text) => text as DataCentre),
  /** Where callers connect. */
  callers: TEXT,
  /** Where other VMs fetch configuration and replicas. */
  state: TEXT,
  /** Whether callers may be sent there. */
  isServing: z.boolean(),
  isDraining: z.boolean(),
  /** Whether it knows what replicas have cached. */
  isPrimed: z.boolean(),
  configVersion: COUNT,
  listRevision: COUNT,
  /** How long ago the list was known to be the newest; -1 for never. */
  listAgeMs: COUNT,
  loads: z.array(z.tuple([VM, COUNT, COUNT, COUNT])),
  results: z.array(z.tuple([VM, COUNT, COUNT])),
  speeds: z.array(z.tuple([VM, COUNT])),
  placements: z.array(z.tuple([VM, z.array(TEXT), COUNT])),
});

const MEMBERS = z.object({
  kind: z.literal("members"),
  /** Where the VMs that the sender hears of take datagrams. */
  endpoints: z.array(TEXT),
});

const MESSAGE = z.discriminatedUnion("kind", [BEAT, MEMBERS]);

/** A VM's state, sent some times a second. */
export type FleetBeat = z.infer<typeof BEAT>;
/** Whom the sender hears of, for a VM that it had not heard of. */
export type MembersMessage = z.infer<typeof MEMBERS>;
/** Any datagram. */
export type FleetMessage = FleetBeat | MembersMessage;

/** A message as bytes. */
export function encodeMessage(message: FleetMessage): Buffer {
  return Buffer.from(JSON.stringify(message));
}

/** Reads a datagram; an `Error` says what is wrong with it. */
export function decodeMessage(bytes: Uint8Array): FleetMessage | Error {
  try {
    return MESSAGE.parse(JSON.parse(Buffer.from(bytes).toString("utf8")));
  } catch (thrown) {
    return toError(thrown);
  }
}
