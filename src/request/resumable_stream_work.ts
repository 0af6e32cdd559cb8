/**
 * Routed streams that another replica can resume.
 *
 * @module
 */
import { BYTE_ORDER_MARK } from "../connection/sse_boundary.ts";
import { SseFramer } from "../connection/sse_frames.ts";
import type {
  CallTimeouts,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import { type RequestId, toId } from "../ids.ts";
import type { StreamOrigin } from "../process/stream_origin_source.ts";
import { buildVersionHeader, readVersion } from "./forwarded_request.ts";
import type { RoutedWorkContext } from "./routed_work.ts";
import { StreamWork } from "./stream_work.ts";
import { buildStreamContent } from "./taken_up_stream.ts";
import {
  BrokenAnswerError,
  checkNotCancelled,
  type RelayOptions,
} from "./upstream_work.ts";

/**
 * Silence after which a resumable stream is resumed at another replica: half of
 * the 2 s after which callers disconnect from a silent stream.
 */
const IDLE_TIMEOUT_MS = 1_000;
/** A line with an event's id, the first one after a byte-order mark included. */
const EVENT_ID = /(?:^\ufeff?|[\r\n])id: ?([^\r\n]*)/g;

/**
 * A stream that another replica can resume after its last complete event, if its
 * software has the version that began the stream: what two versions write does
 * not fit together.
 */
export class ResumableStreamWork extends StreamWork {
  #lastEventId: string | undefined;
  #origin: StreamOrigin | undefined;

  constructor(context: RoutedWorkContext) {
    super(context);
    this.#origin = context.origin;
  }

  static create(context: RoutedWorkContext): ResumableStreamWork {
    return new ResumableStreamWork(context);
  }

  override computeTimeouts(leftMs: number): CallTimeouts {
    const idleTimeoutMs = this.canSendAgain()
      ? Math.min(leftMs, IDLE_TIMEOUT_MS)
      : leftMs;
    return {
      firstByteMs: idleTimeoutMs,
      betweenBytesMs: idleTimeoutMs,
      totalMs: leftMs,
    };
  }

  protected override getLastEventId(): string | undefined {
    return this.#lastEventId ?? this.context.call.lastEventId;
  }

  override canContinue(): boolean {
    return !this.context.execution.options.sink.headWritten ||
      this.#lastEventId !== undefined && this.#origin !== undefined;
  }

  protected override getOrigin(): StreamOrigin | undefined {
    return this.#origin;
  }

  protected override async writeEvents(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const { sink } = this.context.execution.options;
    if (sink.headWritten && answer.status !== 200) {
      throw BrokenAnswerError.create(
        `Upstream answered ${answer.status} to the resumption of a stream`,
      );
    }
    const framer = SseFramer.create();
    const isRest = sink.headWritten;
    let isStart = true;
    for await (const bytes of answer.body) {
      checkNotCancelled(options);
      const frame = framer.push(bytes);
      if (frame.bytes.length === 0) continue;
      if (isStart) {
        this.#noteVersion(answer, options);
        if (isRest) frame.bytes = dropByteOrderMark(frame.bytes);
      }
      isStart = false;
      await this.#sendEvents(answer, frame, options);
    }
    const isResumed = this.getLastEventId() !== undefined;
    this.checkWhole(framer.boundary, { ...answer, isResumed });
    if (framer.pendingBytes > 0) {
      await this.#sendEvents(
        answer,
        { bytes: framer.getPending(), events: 0 },
        options,
      );
    }
  }

  /**
   * Checks the version before the attempt's first events are sent, and tells it
   * to other VMs: they may be asked to go on with the stream.
   */
  #noteVersion(answer: UpstreamAnswer, options: RelayOptions): void {
    const version = options.isForwarded
      ? readVersion(answer)
      : options.getUpstreamVersion();
    const known = this.#origin;
    if (known !== undefined && version !== known.version) {
      throw BrokenAnswerError.create(
        "Upstream's software version is not the one that began the stream",
      );
    }
    if (version === undefined) return;
    const { call, execution, pool, streamOrigins } = this.context;
    this.#origin = { pool: pool.name, version };
    const requestId = call.resumes === undefined
      ? execution.id
      : toId<RequestId>(call.resumes);
    const workspace = execution.options.workspace.name;
    streamOrigins.announce(
      { workspace, requestId },
      buildStreamContent(execution, call),
      this.#origin,
    );
  }

  async #sendEvents(
    answer: UpstreamAnswer,
    frame: { bytes: Uint8Array; events: number },
    options: RelayOptions,
  ): Promise<void> {
    const { execution, request } = this.context;
    const headers = request.forwarded === undefined
      ? {}
      : buildVersionHeader(this.#origin?.version);
    this.writeHead(answer, headers);
    options.progress.noteTokens(frame.events);
    execution.noteTokens(frame.events);
    const ids = Buffer.from(frame.bytes).toString("utf8").matchAll(EVENT_ID);
    for (const [, id] of ids) this.#lastEventId = id?.trimEnd();
    await execution.options.sink.write(frame.bytes);
  }
}

/** A byte-order mark may begin a stream, but not its rest. */
function dropByteOrderMark(bytes: Uint8Array): Uint8Array {
  const isMarked = BYTE_ORDER_MARK.every((byte, at) => bytes[at] === byte);
  return isMarked ? bytes.subarray(BYTE_ORDER_MARK.length) : bytes;
}
