/**
 * What entry VMs tell each other in datagrams.
 *
 * A datagram may be lost, late or doubled: each one says all that matters of
 * its sender, and what it says of single requests only helps decisions.
 *
 * @module
 */
import * as z from "zod";
import type {
  DataCentre,
  Incarnation,
  PoolName,
  Region,
  RequestFingerprint,
  VmId,
} from "../../ids.ts";
import { toError } from "../../errors.ts";

const TEXT = z.string();
const COUNT = z.number();
const VM = TEXT.transform((text) => text as VmId);

/** What a VM tells of its work; all but the loads is told once. */
const WORK = z.object({
  loads: z.array(z.tuple([VM, COUNT, COUNT, COUNT, COUNT])),
  results: z.array(z.tuple([VM, COUNT, COUNT])),
  speeds: z.array(z.tuple([VM, COUNT])),
  placements: z.array(z.tuple([VM, z.array(TEXT), COUNT])),
  reads: z.array(z.tuple([VM, z.array(TEXT)])),
  /** The number of the sender's last ask. */
  lastAsk: COUNT,
  /** Asks up to there that it has no answer to. */
  openAsks: z.array(COUNT),
  limits: z.array(z.tuple([VM, COUNT, COUNT, COUNT])).default([]),
  leaving: z.array(z.tuple([VM, COUNT])).default([]),
});

const HEARTBEAT = z.object({
  kind: z.literal("heartbeat"),
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
  /** Whether the store turns the sender away, or is away. */
  isStoreLost: z.boolean(),
  /** How long ago the list was known to be the newest; -1 for never. */
  listAgeMs: COUNT,
  /** The receiver hears again within so many milliseconds. */
  nextMs: COUNT,
  /** How many other VMs it hears. */
  heard: COUNT,
  /** Processor cores that it may use. */
  cores: COUNT,
  /** Left out for VMs that do not place requests. */
  work: WORK.optional(),
});

const MEMBERS = z.object({
  kind: z.literal("members"),
  /** Where the VMs that the sender hears of take datagrams. */
  endpoints: z.array(TEXT),
});

/**
 * The same sender's last heartbeat still holds: for those that place requests,
 * who hear each VM some seven times a second. Whole heartbeats would be most of
 * what VMs send each other; this is a third of one.
 */
const ALIVE = z.object({
  kind: z.literal("alive"),
  vm: VM,
  incarnation: TEXT.transform((text) => text as Incarnation),
  /** Counts the messages of one incarnation, as heartbeats do. */
  sequence: COUNT,
  listAgeMs: COUNT,
});

/** For VMs that hear the others seldom. */
const SILENT = z.object({
  kind: z.literal("silent"),
  /** VMs that the sender misses, and for how many milliseconds. */
  vms: z.array(z.tuple([VM, COUNT])),
});

const SUSPECTS = z.object({
  kind: z.literal("suspects"),
  /**
   * Requests that replicas crashed under: how long ago each did, whether there
   * was any output before, and how long ago the request was answered whole.
   */
  entries: z.array(z.tuple([
    TEXT.transform((text) => text as RequestFingerprint),
    z.array(z.tuple([
      TEXT.transform((text) => text as Incarnation),
      COUNT,
      z.boolean(),
    ])),
    COUNT,
  ])),
});

const ASK = z.object({
  kind: z.literal("ask"),
  vm: VM,
  /** Counts the sender's asks. */
  ask: COUNT,
  dataCentre: TEXT.transform((text) => text as DataCentre),
  pool: TEXT.transform((text) => text as PoolName),
  avoid: z.array(VM),
  parts: z.array(TEXT),
  partTokens: z.array(COUNT),
  promptTokens: COUNT,
  isInteractive: z.boolean(),
  targetMs: COUNT.optional(),
  regions: z.array(TEXT.transform((text) => text as Region)).optional(),
  /** Whether it may be what crashes replicas. */
  isSuspect: z.boolean().optional(),
});

const PLACED = z.object({
  replica: VM,
  ownTokens: COUNT,
  tokensAhead: COUNT,
  fetchedTokens: COUNT,
  running: COUNT,
  predictedMs: COUNT,
  fetchFrom: TEXT.optional(),
  isDeferred: z.boolean().optional(),
});

const ANSWER = z.object({
  kind: z.literal("answer"),
  ask: COUNT,
  /** Left out where the owner knows of none that takes work. */
  placed: PLACED.optional(),
  /** Whether there are some, and none has room for the request. */
  isFull: z.boolean(),
});

const MESSAGE = z.discriminatedUnion("kind", [
  HEARTBEAT,
  ALIVE,
  MEMBERS,
  SILENT,
  SUSPECTS,
  ASK,
  ANSWER,
]);

/**
 * The fields of each message in the order in which their values are sent. The
 * names themselves were more than half of a heartbeat's bytes.
 */
const FIELDS = {
  heartbeat: listNames(HEARTBEAT),
  alive: listNames(ALIVE),
  members: listNames(MEMBERS),
  silent: listNames(SILENT),
  suspects: listNames(SUSPECTS),
  ask: listNames(ASK),
  answer: listNames(ANSWER),
};
/** The same of what stands within a message, by the field that holds it. */
const NESTED_FIELDS = new Map([
  ["work", listNames(WORK)],
  ["placed", listNames(PLACED)],
]);
const RAW_MESSAGE = z.tuple([z.enum(listKinds())]).rest(z.unknown());

/** A VM's state, sent some times a second. */
export type FleetHeartbeat = z.infer<typeof HEARTBEAT>;
/** That the sender's last heartbeat still holds. */
export type AliveMessage = z.infer<typeof ALIVE>;
/** Whom the sender hears of, for a VM that it had not heard of. */
export type MembersMessage = z.infer<typeof MEMBERS>;
/** What a VM tells of its work. */
export type FleetWork = z.infer<typeof WORK>;
/** A request that the receiver is to find a replica for. */
export type AskMessage = z.infer<typeof ASK>;
/** Where the request of an ask should go. */
export type AnswerMessage = z.infer<typeof ANSWER>;
/** Any datagram. */
export type FleetMessage = z.infer<typeof MESSAGE>;

/** A message as bytes. */
export function encodeMessage(message: FleetMessage): Buffer {
  const { kind, ...content } = message;
  const values = listValues(content, FIELDS[kind]);
  return Buffer.from(JSON.stringify([kind, ...values]));
}

/** Reads a datagram; an `Error` says what is wrong with it. */
export function decodeMessage(bytes: Uint8Array): FleetMessage | Error {
  try {
    const text = Buffer.from(bytes).toString("utf8");
    const [kind, ...values] = RAW_MESSAGE.parse(JSON.parse(text));
    return MESSAGE.parse({ kind, ...buildFields(values, FIELDS[kind]) });
  } catch (thrown) {
    return toError(thrown);
  }
}

function listKinds(): (keyof typeof FIELDS)[] {
  return Object.keys(FIELDS) as (keyof typeof FIELDS)[];
}

/** The names of a message's fields but its kind. */
function listNames(schema: z.ZodObject): string[] {
  return Object.keys(schema.shape).filter((name) => name !== "kind");
}

function listValues(content: object, names: readonly string[]): unknown[] {
  return names.map((name) => {
    const value = (content as Record<string, unknown>)[name];
    const nested = NESTED_FIELDS.get(name);
    if (value === undefined || nested === undefined) return value;
    return listValues(value as object, nested);
  });
}

/** Optional fields are sent as nulls, which JSON has for what is missing. */
function buildFields(
  values: readonly unknown[],
  names: readonly string[],
): Record<string, unknown> {
  const entries = names.map((name, index) => {
    const value = values[index] ?? undefined;
    const nested = NESTED_FIELDS.get(name);
    const isNested = nested !== undefined && Array.isArray(value);
    return [name, isNested ? buildFields(value, nested) : value];
  });
  return Object.fromEntries(entries);
}
