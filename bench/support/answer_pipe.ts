/**
 * Carries the bytes of an upstream's answer to a router, in virtual time.
 *
 * @module
 */
import { CallTimer } from "../../src/connection/call_timer.ts";
import {
  type UpstreamAnswer,
  type UpstreamCall,
  UpstreamError,
  type UpstreamErrorKind,
} from "../../src/connection/upstream_transport.ts";
import type { Clock } from "../../src/process/clock.ts";
import type { AnswerWriter } from "../../standin/engine_writer.ts";

/**
 * Tokens of this interval are delivered as one chunk, which speeds up long
 * runs.
 */
const COALESCE_MS = 100;

/** Options of a pipe. */
export interface PipeOptions {
  clock: Clock;
  call: UpstreamCall;
  delayMs: number;
  /** Called once if the router abandons the answer or it times out. */
  onCancel: () => void;
}

/** A writer for the upstream and an answer body for the router. */
export class AnswerPipe implements AnswerWriter {
  readonly answer: Promise<UpstreamAnswer>;
  readonly #options: PipeOptions;
  readonly #timer: CallTimer;
  readonly #encoder = new TextEncoder();
  readonly #onAbort = () => this.#endWith("aborted");
  #resolveHead: (answer: UpstreamAnswer) => void = () => {};
  #rejectHead: (error: Error) => void = () => {};
  #pending = "";
  #pieces: Uint8Array[] = [];
  #isFlushing = false;
  #hasPiece = false;
  #isEnded = false;
  #error: Error | undefined;
  #wake: (() => void) | undefined;

  constructor(options: PipeOptions) {
    this.#options = options;
    const { clock, call } = options;
    this.answer = new Promise((resolve, reject) => {
      this.#resolveHead = resolve;
      this.#rejectHead = reject;
    });
    this.#timer = CallTimer.create(clock, call.timeouts, {
      onTimeout: (kind) => this.#endWith(kind),
    });
    call.signal.addEventListener("abort", this.#onAbort, { once: true });
  }

  static create(options: PipeOptions): AnswerPipe {
    return new AnswerPipe(options);
  }

  writeHead(status: number, headers: Record<string, string>): void {
    const body = this.#readBody();
    this.#runLater(() => this.#resolveHead({ status, headers, body }));
  }

  write(text: string): void {
    this.#pending += text;
    if (this.#isFlushing) return;
    this.#isFlushing = true;
    const { clock, delayMs } = this.#options;
    const waitMs = this.#hasPiece ? COALESCE_MS : delayMs;
    this.#hasPiece = true;
    clock.startTimer(waitMs, () => this.#flush());
  }

  end(): void {
    this.#runLater(() => {
      this.#flush();
      this.#isEnded = true;
      this.#close();
    });
  }

  destroy(): void {
    this.#runLater(() => {
      this.#flush();
      this.#endWith("broken");
    });
  }

  #runLater(callback: () => void): void {
    this.#options.clock.startTimer(this.#options.delayMs, callback);
  }

  #flush(): void {
    this.#isFlushing = false;
    if (this.#pending === "" || this.#error !== undefined) return;
    this.#pieces.push(this.#encoder.encode(this.#pending));
    this.#pending = "";
    this.#wake?.();
  }

  #endWith(kind: UpstreamErrorKind): void {
    if (this.#error !== undefined || this.#isEnded) return;
    this.#error = createUpstreamError(this.#options.call, kind, true);
    if (kind !== "broken") this.#options.onCancel();
    this.#rejectHead(this.#error);
    this.#close();
  }

  #close(): void {
    this.#timer.stop();
    this.#options.call.signal.removeEventListener("abort", this.#onAbort);
    this.#wake?.();
  }

  async *#readBody(): AsyncGenerator<Uint8Array> {
    try {
      while (true) {
        const piece = this.#pieces.shift();
        if (piece !== undefined) {
          this.#timer.noteByte();
          yield piece;
          continue;
        }
        if (this.#error !== undefined) throw this.#error;
        if (this.#isEnded) return;
        this.#timer.noteWaiting();
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
    } finally {
      this.#endWith("aborted");
    }
  }
}

/** Creates an error as the HTTP transport throws it. */
export function createUpstreamError(
  call: UpstreamCall,
  kind: UpstreamErrorKind,
  mayHaveRun: boolean,
): UpstreamError {
  const place = { step: "upstream_call", peer: call.upstream };
  const message = `Call to the upstream failed: ${kind}`;
  return new UpstreamError(place, { kind, mayHaveRun, message });
}
