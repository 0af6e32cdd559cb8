/**
 * Routed calls whose answer is an event stream.
 *
 * @module
 */
import { SseBoundary } from "../connection/sse_boundary.ts";
import { SseFramer } from "../connection/sse_frames.ts";
import type {
  CallTimeouts,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import {
  findTruncation,
  isEventStream,
  type StreamEnd,
} from "./event_stream.ts";
import type { RequestExecution } from "./request_execution.ts";
import { RoutedWork, type RoutedWorkContext } from "./routed_work.ts";
import {
  BrokenAnswerError,
  checkNotCancelled,
  type RelayOptions,
  TruncatedAnswerError,
} from "./upstream_work.ts";

/**
 * Silence after which a resumable stream is resumed at another replica: half of
 * the 2 s after which callers disconnect from a silent stream.
 */
const IDLE_TIMEOUT_MS = 1_000;
const EVENT_ID = /^id: ?(.*)$/gm;

/** A stream that must not be repeated: forwarded, and aborted if it breaks. */
export class SingleStreamWork extends RoutedWork {
  static create(context: RoutedWorkContext): SingleStreamWork {
    return new SingleStreamWork(context);
  }

  /** Only the deadline ends a silent stream: no other replica can resume it. */
  override computeTimeouts(leftMs: number): CallTimeouts {
    return { firstByteMs: leftMs, betweenBytesMs: leftMs, totalMs: leftMs };
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { execution } = this.context;
    const boundary = SseBoundary.create();
    for await (const bytes of answer.body) {
      checkNotCancelled(options);
      this.writeHead(answer);
      options.progress.noteTokens(1);
      execution.noteTokens(1);
      boundary.push(bytes);
      await execution.options.sink.write(bytes);
    }
    if (isEventStream(answer)) {
      checkWhole(execution, boundary, { ...answer, isResumed: false });
    }
    options.onComplete();
    this.writeHead(answer);
    await execution.options.sink.end();
  }

  override canContinue(): boolean {
    return !this.context.execution.options.sink.headWritten;
  }
}

/** A stream that another replica can resume after its last complete event. */
export class ResumableStreamWork extends RoutedWork {
  #lastEventId: string | undefined;

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

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { sink } = this.context.execution.options;
    if (sink.headWritten && answer.status !== 200) {
      throw BrokenAnswerError.create(
        `Upstream answered ${answer.status} to the resumption of a stream`,
      );
    }
    const framer = SseFramer.create();
    for await (const bytes of answer.body) {
      checkNotCancelled(options);
      const frame = framer.push(bytes);
      if (frame.bytes.length > 0) {
        await this.#sendEvents(answer, frame, options);
      }
    }
    if (framer.pendingBytes > 0) {
      throw BrokenAnswerError.create(
        "Upstream ended the stream within an event",
      );
    }
    options.onComplete();
    this.writeHead(answer);
    await sink.end();
  }

  override canContinue(): boolean {
    return !this.context.execution.options.sink.headWritten ||
      this.#lastEventId !== undefined;
  }

  async #sendEvents(
    answer: UpstreamAnswer,
    frame: { bytes: Uint8Array; events: number },
    options: RelayOptions,
  ): Promise<void> {
    const { execution } = this.context;
    this.writeHead(answer);
    options.progress.noteTokens(frame.events);
    execution.noteTokens(frame.events);
    const ids = Buffer.from(frame.bytes).toString("utf8").matchAll(EVENT_ID);
    for (const [, id] of ids) this.#lastEventId = id?.trimEnd();
    await execution.options.sink.write(frame.bytes);
  }
}

/** Throws `TruncatedAnswerError` if the stream was broken off. */
function checkWhole(
  execution: RequestExecution,
  boundary: SseBoundary,
  end: StreamEnd,
): void {
  const truncation = findTruncation(boundary, end);
  if (truncation === undefined) return;
  execution.noteTruncated(truncation);
  throw TruncatedAnswerError.create(
    `Upstream ended the stream ${truncation.detail}`,
  );
}
