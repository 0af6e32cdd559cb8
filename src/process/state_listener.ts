/**
 * The listener for other VMs and for engineers on call.
 *
 * @module
 */
import {
  AnsweringListener,
  buildJsonAnswer,
  type SmallAnswer,
} from "../connection/answering_listener.ts";
import { type RequestId, toId } from "../ids.ts";
import type { Log } from "./log.ts";
import {
  parseKnownVersions,
  PREFIXES_PATH,
  STATE_PATH,
} from "./seeded_fleet/peer_calls.ts";
import type { KnownVersions } from "./seeded_fleet/state_follower.ts";

const STATUS_PATH = "/v1/status";
const FATE_PATH = /^\/v1\/requests\/([^/]+)$/;

/** What the listener tells; answers are plain data for JSON. */
export interface StateAnswers {
  buildHandedState: (known: KnownVersions) => object;
  listPrefixes: () => object;
  /** The fleet and the replicas as this VM sees them. */
  buildStatus: () => object;
  /** What became of a request; undefined where nothing is known of it. */
  findFate: (requestId: RequestId) => object | undefined;
}

/** Creates the listener. */
export function createStateListener(
  log: Log,
  answers: StateAnswers,
): AnsweringListener {
  return AnsweringListener.create({
    name: "state",
    log,
    buildAnswer: (method, url) =>
      method === "GET" ? answerGet(url, answers) : buildUnknown("No such call"),
  });
}

function answerGet(url: URL, answers: StateAnswers): SmallAnswer {
  switch (url.pathname) {
    case STATE_PATH: {
      const known = parseKnownVersions(url.searchParams);
      return buildJsonAnswer(200, answers.buildHandedState(known));
    }
    case PREFIXES_PATH:
      return buildJsonAnswer(200, answers.listPrefixes());
    case STATUS_PATH:
      return buildJsonAnswer(200, answers.buildStatus());
  }
  const id = FATE_PATH.exec(url.pathname)?.[1];
  if (id === undefined) return buildUnknown("No such call");
  const fate = answers.findFate(toId<RequestId>(id));
  return fate === undefined
    ? buildUnknown("Nothing is known of this request id")
    : buildJsonAnswer(200, fate);
}

function buildUnknown(error: string): SmallAnswer {
  return buildJsonAnswer(404, { error });
}
