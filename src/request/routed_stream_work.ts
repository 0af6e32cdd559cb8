/**
 * A routed call whose answer is a stream of events.
 *
 * @module
 */
import { SseFramer } from "../connection/sse_frames.ts";
import type {
  CallLimits,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import { RoutedWork, type RoutedWorkStart } from "./routed_work.ts";
import {
  BrokenAnswerError,
  checkWanted,
  type RelayOptions,
} from "./upstream_work.ts";

/**
 * A resumable stream that stays silent for so long goes on at another replica,
 * in milliseconds: half of the two seconds after which callers leave.
 */
const SILENCE_MS = 1_000;
const EVENT_ID = /^id: ?(.*)$/gm;

/** A stream that may run once: passed on as it comes, and cut if it breaks. */
export class SingleStreamWork extends RoutedWork {
  static create(start: RoutedWorkStart): SingleStreamWork {
    return new SingleStreamWork(start);
  }

  /** Silence is no reason to end it: nothing else could finish it. */
  override computeLimits(leftMs: number): CallLimits {
    return { firstByteMs: leftMs, betweenBytesMs: leftMs, totalMs: leftMs };
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { run } = this.start;
    for await (const bytes of answer.body) {
      checkWanted(options);
      this.writeHead(answer);
      options.progress.noteTokens(1);
      run.noteTokens(1);
      await run.start.sink.write(bytes);
    }
    options.onWhole();
    this.writeHead(answer);
    await run.start.sink.end();
  }

  override canContinue(): boolean {
    return !this.start.run.start.sink.headWritten;
  }
}

/** A stream that another replica can go on with after the last whole event. */
export class ResumableStreamWork extends RoutedWork {
  #lastEventId: string | undefined;

  static create(start: RoutedWorkStart): ResumableStreamWork {
    return new ResumableStreamWork(start);
  }

  override computeLimits(leftMs: number): CallLimits {
    const silenceMs = this.canSendAgain()
      ? Math.min(leftMs, SILENCE_MS)
      : leftMs;
    return {
      firstByteMs: silenceMs,
      betweenBytesMs: silenceMs,
      totalMs: leftMs,
    };
  }

  protected override getLastEventId(): string | undefined {
    return this.#lastEventId ?? this.start.call.lastEventId;
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { sink } = this.start.run.start;
    if (sink.headWritten && answer.status !== 200) {
      throw BrokenAnswerError.create(`Resumption got ${answer.status}`);
    }
    const framer = SseFramer.create();
    for await (const bytes of answer.body) {
      checkWanted(options);
      const frame = framer.push(bytes);
      if (frame.bytes.length > 0) {
        await this.#sendEvents(answer, frame, options);
      }
    }
    if (framer.pendingBytes > 0) {
      throw BrokenAnswerError.create("Stream ended within an event");
    }
    options.onWhole();
    this.writeHead(answer);
    await sink.end();
  }

  override canContinue(): boolean {
    return !this.start.run.start.sink.headWritten ||
      this.#lastEventId !== undefined;
  }

  async #sendEvents(
    answer: UpstreamAnswer,
    frame: { bytes: Uint8Array; events: number },
    options: RelayOptions,
  ): Promise<void> {
    const { run } = this.start;
    this.writeHead(answer);
    options.progress.noteTokens(frame.events);
    run.noteTokens(frame.events);
    const ids = Buffer.from(frame.bytes).toString("utf8").matchAll(EVENT_ID);
    for (const [, id] of ids) this.#lastEventId = id?.trimEnd();
    await run.start.sink.write(frame.bytes);
  }
}
