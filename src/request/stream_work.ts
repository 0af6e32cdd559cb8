/**
 * Base of routed calls whose answer is a stream of events.
 *
 * @module
 */
import type { SseBoundary } from "../connection/sse_boundary.ts";
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import {
  findTruncation,
  isEventStream,
  type StreamEnd,
} from "./event_stream.ts";
import { RoutedWork } from "./routed_work.ts";
import {
  BrokenAnswerError,
  checkNotCancelled,
  type RelayOptions,
  TruncatedAnswerError,
} from "./upstream_work.ts";

/** Forwards a stream of events, or an answer of another type unchanged. */
export abstract class StreamWork extends RoutedWork {
  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { sink } = this.context.execution.options;
    if (isEventStream(answer)) await this.writeEvents(answer, options);
    else await this.#writeOther(answer, options);
    options.onComplete();
    this.writeHead(answer);
    await sink.end();
  }

  /** Forwards the events; throws `TruncatedAnswerError` if it is not whole. */
  protected abstract writeEvents(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void>;

  /** Throws `TruncatedAnswerError` if the stream was broken off. */
  protected checkWhole(boundary: SseBoundary, end: StreamEnd): void {
    const truncation = findTruncation(boundary, end);
    if (truncation === undefined) return;
    this.context.execution.noteTruncated(truncation);
    throw TruncatedAnswerError.create(
      `Upstream ended the stream ${truncation.detail}`,
    );
  }

  async #writeOther(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const { sink } = this.context.execution.options;
    if (sink.headWritten) {
      throw BrokenAnswerError.create(
        `Upstream answered ${answer.status} to the resumption of a stream`,
      );
    }
    for await (const bytes of answer.body) {
      checkNotCancelled(options);
      this.writeHead(answer);
      await sink.write(bytes);
    }
  }
}
