/**
 * A routed call whose answer is a body of some size.
 *
 * @module
 */
import type {
  CallLimits,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import { RoutedWork, type RoutedWorkStart } from "./routed_work.ts";
import { checkWanted, type RelayOptions } from "./upstream_work.ts";

/**
 * Bodies up to this size, in bytes, are read whole before the first byte goes
 * on: one that breaks off can then be told as a failure, or be fetched again.
 */
const MAX_HELD_BYTES = 262_144;
/**
 * The part of the time left that an idempotent call gives one replica to
 * begin its answer, so that a replica that hangs leaves time for another.
 */
const FIRST_REPLICA_SHARE = 0.5;

/** Passes one call on and its answer back. */
export class RoutedCallWork extends RoutedWork {
  static create(start: RoutedWorkStart): RoutedCallWork {
    return new RoutedCallWork(start);
  }

  override computeLimits(leftMs: number): CallLimits {
    const firstByteMs = this.canSendAgain()
      ? leftMs * FIRST_REPLICA_SHARE
      : leftMs;
    return { firstByteMs, betweenBytesMs: leftMs, totalMs: leftMs };
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { sink } = this.start.run.start;
    const held: Uint8Array[] = [];
    let heldBytes = 0;
    for await (const bytes of answer.body) {
      checkWanted(options);
      if (!sink.headWritten) {
        held.push(bytes);
        heldBytes += bytes.length;
        if (heldBytes <= MAX_HELD_BYTES) continue;
        this.writeHead(answer);
        for (const part of held) await sink.write(part);
        continue;
      }
      await sink.write(bytes);
    }
    options.onWhole();
    if (!sink.headWritten) {
      this.#writeHeld(answer, held, heldBytes);
    }
    await sink.end();
  }

  override canContinue(): boolean {
    return !this.start.run.start.sink.headWritten;
  }

  #writeHeld(
    answer: UpstreamAnswer,
    held: Uint8Array[],
    heldBytes: number,
  ): void {
    const isHead = this.start.request.method === "HEAD";
    this.writeHead(
      answer,
      isHead ? {} : { "content-length": String(heldBytes) },
    );
    for (const part of held) void this.start.run.start.sink.write(part);
  }
}
