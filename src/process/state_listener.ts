/**
 * HTTP listener for other VMs and for operators.
 *
 * @module
 */
import { match } from "ts-pattern";
import {
  buildJsonAnswer,
  type SimpleAnswer,
  SimpleListener,
} from "../connection/simple_listener.ts";
import { type PartKey, type RequestId, toId, type VmId } from "../ids.ts";
import type { Log } from "./log.ts";
import {
  parseKnownVersions,
  PREFIXES_PATH,
  REACH_PATH,
  STATE_PATH,
} from "./seeded_fleet/peer_calls.ts";
import type { KnownVersions } from "./seeded_fleet/newer_state.ts";

const STATUS_PATH = "/v1/status";
/** Followed by a held part. */
const HELD_PARTS_PATH = "/v1/quarantined-parts/";
const REQUEST_STATUS_PATH = /^\/v1\/requests\/([^/]+)$/;

/** Handlers of the listener's paths; results are sent as JSON. */
export interface StateHandlers {
  buildNewerState: (known: KnownVersions) => object;
  listPrefixes: () => object;
  /** Whether this VM reaches a replica now. */
  checkReach: (replica: VmId) => Promise<boolean>;
  /** The fleet and the replicas as this VM sees them. */
  buildStatus: () => object;
  /** Ends the hold of a part; returns whether it was held. */
  endHold: (part: PartKey) => boolean;
  /** The status of a request; undefined if the request is unknown. */
  findRequestStatus: (requestId: RequestId) => object | undefined;
}

/** Creates the listener. */
export function createStateListener(
  { log, maxConnections, handlers }: {
    log: Log;
    maxConnections: number;
    handlers: StateHandlers;
  },
): SimpleListener {
  return SimpleListener.create({
    name: "state",
    log,
    maxConnections,
    buildAnswer: (method, url) =>
      match(method)
        .returnType<SimpleAnswer | Promise<SimpleAnswer>>()
        .with("GET", () => answerGet(url, handlers))
        .with("DELETE", () => answerDelete(url, handlers))
        .otherwise(() => buildNotFound("Unknown path or method")),
  });
}

async function answerGet(
  url: URL,
  handlers: StateHandlers,
): Promise<SimpleAnswer> {
  switch (url.pathname) {
    case STATE_PATH: {
      const known = parseKnownVersions(url.searchParams);
      return buildJsonAnswer(200, handlers.buildNewerState(known));
    }
    case PREFIXES_PATH:
      return buildJsonAnswer(200, handlers.listPrefixes());
    case STATUS_PATH:
      return buildJsonAnswer(200, handlers.buildStatus());
  }
  if (url.pathname.startsWith(REACH_PATH)) {
    const replica = decodeURIComponent(url.pathname.slice(REACH_PATH.length));
    const isReached = await handlers.checkReach(toId<VmId>(replica));
    return buildJsonAnswer(200, { isReached });
  }
  const id = REQUEST_STATUS_PATH.exec(url.pathname)?.[1];
  if (id === undefined) return buildNotFound("Unknown path or method");
  const status = handlers.findRequestStatus(toId<RequestId>(id));
  return status === undefined
    ? buildNotFound("Unknown request id")
    : buildJsonAnswer(200, status);
}

function answerDelete(
  { pathname }: URL,
  { endHold }: StateHandlers,
): SimpleAnswer {
  if (!pathname.startsWith(HELD_PARTS_PATH)) {
    return buildNotFound("Unknown path or method");
  }
  const part = decodeURIComponent(pathname.slice(HELD_PARTS_PATH.length));
  return endHold(toId<PartKey>(part))
    ? buildJsonAnswer(200, { part })
    : buildNotFound(`Part ${part} is not held`);
}

function buildNotFound(error: string): SimpleAnswer {
  return buildJsonAnswer(404, { error });
}
