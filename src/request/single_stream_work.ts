/**
 * Routed streams that must not be repeated.
 *
 * @module
 */
import { SseBoundary } from "../connection/sse_boundary.ts";
import type {
  CallTimeouts,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import type { RoutedWorkContext } from "./routed_work.ts";
import { StreamWork } from "./stream_work.ts";
import { checkNotCancelled, type RelayOptions } from "./upstream_work.ts";

/** A stream that must not be repeated: forwarded, and aborted if it breaks. */
export class SingleStreamWork extends StreamWork {
  static create(context: RoutedWorkContext): SingleStreamWork {
    return new SingleStreamWork(context);
  }

  /** Only the deadline ends a silent stream: no other replica can resume it. */
  override computeTimeouts(leftMs: number): CallTimeouts {
    return { firstByteMs: leftMs, betweenBytesMs: leftMs, totalMs: leftMs };
  }

  override canContinue(): boolean {
    return !this.context.execution.options.sink.headWritten;
  }

  /** Forwards bytes as they come, without holding back incomplete events. */
  protected override async writeEvents(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
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
    this.checkWhole(boundary, { ...answer, isResumed: false });
  }
}
