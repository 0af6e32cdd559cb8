/**
 * Datagrams that entry VMs send each other.
 *
 * A datagram may be lost, delayed or duplicated. Each heartbeat therefore holds
 * the sender's complete state, and entries about single requests only improve
 * decisions, so that their loss does no harm.
 *
 * @module
 */
import * as z from "zod";
import type {
  DataCentre,
  Incarnation,
  PoolName,
  Region,
  SoftwareVersion,
  VmId,
  WorkspaceName,
} from "../../ids.ts";
import { toError } from "../../errors.ts";
import type { ListDigest } from "../placement/list_digest.ts";
import type { ListPosition } from "../placement/list_position.ts";
import { ORIGIN, ORIGIN_ANSWER, ORIGIN_QUERY } from "./origin_message.ts";
import { NEWS_QUERY, SUSPECTS } from "./suspect_schema.ts";

const TEXT = z.string();
const COUNT = z.number();
const VM = TEXT.transform((text) => text as VmId);
const DATA_CENTRE = TEXT.transform((text) => text as DataCentre);
const INCARNATION = TEXT.transform((text) => text as Incarnation);

/** Work of a VM. Loads are sent with each report, the other entries once. */
const WORK = z.object({
  loads: z.array(z.tuple([VM, COUNT, COUNT, COUNT, COUNT])),
  results: z.array(z.tuple([VM, COUNT, COUNT])),
  speeds: z.array(z.tuple([VM, COUNT])),
  placements: z.array(z.tuple([VM, z.array(TEXT), COUNT])),
  reads: z.array(z.tuple([VM, z.array(TEXT)])),
  /** Number of the sender's last placement request. */
  lastAsk: COUNT,
  /** Those up to `lastAsk` that are unanswered or not in `loads` yet. */
  openAsks: z.array(COUNT),
  limits: z.array(z.tuple([VM, COUNT, COUNT, COUNT])).default([]),
  leaving: z.array(z.tuple([VM, COUNT])).default([]),
  unreached: z.array(z.tuple([VM, COUNT])).default([]),
  rejections: z.array(z.tuple([VM, COUNT, COUNT])).default([]),
});

/**
 * The process whose call to the store showed that a list is the newest, and the
 * time of the answer by its clock, in milliseconds.
 */
const CONFIRMATION = z.tuple([INCARNATION, COUNT]);

const HEARTBEAT = z.object({
  kind: z.literal("heartbeat"),
  vm: VM,
  incarnation: INCARNATION,
  /** Increases with each message of one incarnation. */
  sequence: COUNT,
  dataCentre: DATA_CENTRE,
  /** Endpoint for callers. */
  callers: TEXT,
  /** Endpoint from which other VMs fetch configuration and replicas. */
  state: TEXT,
  /** Whether callers may be sent to this VM. */
  isServing: z.boolean(),
  isDraining: z.boolean(),
  /** Whether this VM knows what replicas have cached. */
  isPrimed: z.boolean(),
  configVersion: COUNT,
  listRevision: COUNT,
  /** Whether the store refuses the sender or is unavailable. */
  isStoreLost: z.boolean(),
  /**
   * Time since the list was last known to be the newest; -1 for never. Only older
   * versions read it.
   */
  listAgeMs: COUNT,
  /** Time within which the receiver gets the next message. */
  nextMs: COUNT,
  /** Number of other VMs that the sender considers live. */
  heard: COUNT,
  /** Processor cores that the VM may use. */
  cores: COUNT,
  /** Undefined for VMs that do not place requests. */
  work: WORK.optional(),
  /** Time of sending by the sender's clock; undefined from older versions. */
  sentAt: COUNT.optional(),
  /** Undefined if the list was never known to be the newest. */
  confirmed: CONFIRMATION.optional(),
  /** Pools of which the sender reaches no replica; undefined for none. */
  lostPools: z.array(TEXT.transform((text) => text as PoolName)).optional(),
  /**
   * Replicas that have left lately, and the revision of the list that showed it;
   * undefined for none.
   */
  left: z.array(z.tuple([VM, COUNT])).optional(),
  /**
   * Replicas that are listed as ready and have announced that they leave, and the
   * revision of the sender's list; undefined for none.
   */
  leaving: z.array(z.tuple([VM, COUNT])).optional(),
  /** Era of all revisions in this message; undefined for none. */
  listEra: COUNT.optional(),
  /**
   * Replicas that left before the store was restored, and for how many
   * milliseconds they are still not used; undefined for none.
   */
  withheld: z.array(z.tuple([VM, COUNT])).optional(),
  /** The same for data centres that were evacuated. */
  keptEvacuations: z.array(z.tuple([DATA_CENTRE, COUNT])).optional(),
  /** Digest of the sender's list; undefined from older versions. */
  listDigest: COUNT.transform((digest) => digest as ListDigest).optional(),
});

const MEMBERS = z.object({
  kind: z.literal("members"),
  /** Datagram endpoints of the VMs that the sender considers live. */
  endpoints: z.array(TEXT),
});

/**
 * Confirms the sender's last heartbeat. It goes to pool owners, which receive
 * some seven messages a second from each VM. Full heartbeats would be most of
 * the traffic between VMs; this message is a third of their size.
 */
const ALIVE = z.object({
  kind: z.literal("alive"),
  vm: VM,
  incarnation: INCARNATION,
  /** Increases with each message of one incarnation, heartbeats included. */
  sequence: COUNT,
  /** Only older versions read it. */
  listAgeMs: COUNT,
  /** The list that the sender has; undefined from older versions. */
  listRevision: COUNT.optional(),
  /** Era of that list; undefined for none. */
  listEra: COUNT.optional(),
});

/** Sent by pool owners to VMs that receive heartbeats rarely. */
const SILENT = z.object({
  kind: z.literal("silent"),
  /** VMs that the sender considers silent, and for how many milliseconds. */
  vms: z.array(z.tuple([VM, COUNT])),
});

/** Times in milliseconds from when the placement request was sent. */
const WAITING = z.object({
  priority: COUNT,
  waitedMs: COUNT,
  onTimeMs: COUNT,
  usefulMs: COUNT,
  expectedMs: COUNT,
});

const PLACEMENT_REQUEST = z.object({
  kind: z.literal("ask"),
  vm: VM,
  /** Number of the placement request, counted by the sender. */
  ask: COUNT,
  dataCentre: DATA_CENTRE,
  pool: TEXT.transform((text) => text as PoolName),
  avoid: z.array(VM),
  parts: z.array(TEXT),
  partTokens: z.array(COUNT),
  promptTokens: COUNT,
  isInteractive: z.boolean(),
  targetMs: COUNT.optional(),
  regions: z.array(TEXT.transform((text) => text as Region)).optional(),
  /** Whether the request is suspected of crashing replicas. */
  isSuspect: z.boolean().optional(),
  workspace: TEXT.transform((text) => text as WorkspaceName).optional(),
  /** Process of the sender; undefined where the request must not wait. */
  incarnation: INCARNATION.optional(),
  /** Undefined where the request must not wait at the owner. */
  waiting: WAITING.optional(),
  /** Version of the replica's software; undefined for any. */
  version: TEXT.transform((text) => text as SoftwareVersion).optional(),
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

const PLACEMENT_ANSWER = z.object({
  kind: z.literal("answer"),
  ask: COUNT,
  /** Undefined where the owner knows no replica that accepts work. */
  placed: PLACED.optional(),
  /** Whether there are such replicas and none has capacity for the request. */
  isFull: z.boolean(),
  /** Whether the request waits at the owner, which sends another answer. */
  isWaiting: z.boolean().optional(),
  /** Whether a placement would be of no use any more. */
  isExpired: z.boolean().optional(),
});

const MESSAGE = z.discriminatedUnion("kind", [
  HEARTBEAT,
  ALIVE,
  MEMBERS,
  SILENT,
  SUSPECTS,
  NEWS_QUERY,
  PLACEMENT_REQUEST,
  PLACEMENT_ANSWER,
  ORIGIN,
  ORIGIN_QUERY,
  ORIGIN_ANSWER,
]);

/**
 * Fields of each message in the order in which their values are sent; a new one
 * goes to the end, since VMs of two versions send each other messages. Field
 * names are left out because they took more than half of a heartbeat's bytes.
 */
const FIELDS = {
  heartbeat: listNames(HEARTBEAT),
  alive: listNames(ALIVE),
  members: listNames(MEMBERS),
  silent: listNames(SILENT),
  suspects: listNames(SUSPECTS),
  news_query: listNames(NEWS_QUERY),
  ask: listNames(PLACEMENT_REQUEST),
  answer: listNames(PLACEMENT_ANSWER),
  origin: listNames(ORIGIN),
  origin_query: listNames(ORIGIN_QUERY),
  origin_answer: listNames(ORIGIN_ANSWER),
};
/** Fields of nested objects, by the field that holds the object. */
const NESTED_FIELDS = new Map([
  ["work", listNames(WORK)],
  ["placed", listNames(PLACED)],
  ["waiting", listNames(WAITING)],
]);
const RAW_MESSAGE = z.tuple([z.enum(listKinds())]).rest(z.unknown());

/** When the store showed that a list is the newest, and to which process. */
export type Confirmation = z.infer<typeof CONFIRMATION>;
/** State of a VM, sent several times a second. */
export type FleetHeartbeat = z.infer<typeof HEARTBEAT>;
/** Confirmation that the sender's last heartbeat still holds. */
export type AliveMessage = z.infer<typeof ALIVE>;
/** Live peers of the sender, for a VM that it has just discovered. */
export type MembersMessage = z.infer<typeof MEMBERS>;
/** Work of a VM. */
export type WorkReport = z.infer<typeof WORK>;
/** Request for a replica, sent to a pool owner. */
export type PlacementRequestMessage = z.infer<typeof PLACEMENT_REQUEST>;
/** Answer to a placement request. */
export type PlacementAnswerMessage = z.infer<typeof PLACEMENT_ANSWER>;
/** Any datagram. */
export type FleetMessage = z.infer<typeof MESSAGE>;

/** The position of the sender's list. */
export function getListPosition(
  { listRevision: revision, listEra: era }: FleetHeartbeat,
): ListPosition {
  return { era, revision };
}

/** Encodes a message as a JSON list of values. */
export function encodeMessage(message: FleetMessage): Buffer {
  const { kind, ...content } = message;
  const values = listValues(content, FIELDS[kind]);
  return Buffer.from(JSON.stringify([kind, ...values]));
}

/** Decodes a datagram; returns an `Error` for an invalid one. */
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

/** Field names of a message without `kind`. */
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

/**
 * Maps nulls back to missing fields, since JSON lists hold null for undefined.
 */
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
