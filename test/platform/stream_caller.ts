/**
 * A caller of resumable streams that takes them up again when they break.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { sendRequest, type TestVm } from "./platform_fleet.ts";

const EVENT = /id: (\d+)\ndata: (\S+)\n\n/g;

/** A stream as its caller has it after all tries. */
export interface CalledStream {
  /** Replicas that the events came from, in the order of the events. */
  replicas: string[];
  /** Whether the last event came and the answer was complete. */
  isWhole: boolean;
  /** Status of each try; 0 for a connection without an answer. */
  statuses: number[];
}

/** Options of `sendStream`. */
export interface CallOptions {
  id: string;
  path: string;
  /** The VM of each try, chosen when it begins. */
  vms: (() => TestVm)[];
  /** Pause before each try but the first. */
  pauseMs?: number;
  /** Whether further tries name the stream; they do by default. */
  isNamed?: boolean;
  /** Called when the first try is over and the stream is not whole. */
  onBroken?: () => Promise<void> | void;
}

/** A part of a prompt that belongs to one stream alone. */
function createPart(id: string): string {
  return Buffer.from(id).toString("hex");
}

/** Calls a stream, and takes it up again until it is whole or tries run out. */
export async function sendStream(options: CallOptions): Promise<CalledStream> {
  const stream: CalledStream = { replicas: [], isWhole: false, statuses: [] };
  let first: string | undefined;
  for (const [index, choose] of options.vms.entries()) {
    if (index === 1) await options.onBroken?.();
    if (index > 0) await sleep(options.pauseMs ?? 0);
    const id = `${options.id}-${index}`;
    const before = stream.replicas.length;
    const answer = await sendRequest(choose(), {
      path: options.path,
      body: options.id,
      headers: {
        "x-request-id": id,
        "x-token-count": "9,60",
        "x-prompt-prefix": `5ca1e:5,${createPart(options.id)}:4`,
        ...(first === undefined ? {} : { "last-event-id": String(before) }),
        ...(first === undefined || options.isNamed === false
          ? {}
          : { resumes: first }),
      },
    });
    stream.statuses.push(answer.status);
    if (answer.status === 200) {
      for (const [, , replica] of answer.body.matchAll(EVENT)) {
        stream.replicas.push(replica!);
      }
    }
    if (stream.replicas.length > 0) first ??= id;
    stream.isWhole = answer.status === 200 && answer.isWhole;
    if (stream.isWhole) break;
  }
  return stream;
}
