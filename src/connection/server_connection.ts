/**
 * One connection of an HTTP server, whose requests are parsed only as its
 * answers are read.
 *
 * Node parses whatever arrives: a read of 64 KB may hold thousands of requests,
 * and each of them costs memory whether it is handled or not. So the parser gets
 * the bytes in pieces, and none behind a request that is complete and has no
 * answer yet. The rest waits unparsed, most of it with its sender.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { PendingBudget } from "./pending_budget.ts";

/** Holds some 30 of the shortest requests. */
const PIECE_BYTES = 512;
/** Pieces that each connection may parse in a turn of the event loop. */
const OWN_PIECES = 2;
/** With more unparsed bytes, nothing is read from the socket. */
const MAX_UNPARSED_BYTES = 4_096;

type ParseBytes = (bytes: Buffer) => void;

/** A connection with its requests in flight and its unparsed bytes. */
export class ServerConnection {
  readonly #socket: Socket;
  readonly #budget: PendingBudget;
  readonly #parse: ParseBytes;
  #unparsed: Buffer[] = [];
  #unparsedBytes = 0;
  #inFlight = 0;
  #last: IncomingMessage | undefined;
  /** Bytes parsed since the head of the last request. */
  #parsedSinceHead = 0;
  #isClosing = false;
  #isScheduled = false;

  constructor(socket: Socket, budget: PendingBudget) {
    this.#socket = socket;
    this.#budget = budget;
    const [parse] = socket.listeners("data") as [ParseBytes];
    this.#parse = parse;
    socket.off("data", parse);
    socket.on("data", (bytes: Buffer) => this.#add(bytes));
    socket.on("drain", () => this.#parseLater());
    socket.once("close", () => this.#dropUnparsed());
  }

  /** Takes over the bytes of a connection that an HTTP server has accepted. */
  static create(socket: Socket, budget: PendingBudget): ServerConnection {
    return new ServerConnection(socket, budget);
  }

  /** Requests without a complete answer. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Takes a request that was parsed; returns whether to handle it. Otherwise it
   * gets no answer, and the connection is closed once those before have theirs.
   */
  takeRequest(request: IncomingMessage, response: ServerResponse): boolean {
    this.#last = request;
    this.#parsedSinceHead = 0;
    const isAhead = this.#inFlight > 0;
    if (this.#isClosing || (isAhead && !this.#budget.takeRequest())) {
      this.#closeAfterAnswers();
      return false;
    }
    this.#inFlight += 1;
    response.once("close", () => {
      this.#inFlight -= 1;
      if (isAhead) this.#budget.endRequest();
      this.#noteAnswered();
    });
    return true;
  }

  /** Parses no further request, and closes once those in flight are answered. */
  #closeAfterAnswers(): void {
    this.#isClosing = true;
    this.#dropUnparsed();
    this.#socket.pause();
    if (this.#inFlight === 0) this.#socket.destroySoon();
  }

  #noteAnswered(): void {
    if (this.#isClosing) {
      if (this.#inFlight === 0) this.#socket.destroySoon();
      return;
    }
    if (this.#unparsedBytes > 0) this.#parseLater();
  }

  /** After other connections: one that is read to its end would hold them up. */
  #parseLater(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#parseNext();
    });
  }

  #add(bytes: Buffer): void {
    if (this.#isClosing) return;
    if (!this.#budget.takeBytes(bytes.length)) return this.#closeAfterAnswers();
    this.#unparsed.push(bytes);
    this.#unparsedBytes += bytes.length;
    this.#parseNext();
  }

  #parseNext(): void {
    for (
      let parsed = 0;
      this.#unparsedBytes > 0 && this.#canParse();
      parsed++
    ) {
      if (parsed >= OWN_PIECES && !this.#budget.takePiece()) {
        this.#parseLater();
        break;
      }
      const piece = this.#takePiece();
      this.#parsedSinceHead += piece.length;
      this.#parse(piece);
    }
    if (this.#isClosing) return;
    if (this.#unparsedBytes > MAX_UNPARSED_BYTES) this.#socket.pause();
    else if (this.#socket.isPaused()) this.#socket.resume();
  }

  /** Node pauses its parser while answers wait to be written. */
  #canParse(): boolean {
    if (this.#isClosing || this.#socket.destroyed) return false;
    if (this.#socket.writableNeedDrain) return false;
    return this.#inFlight === 0 || !this.#last!.complete;
  }

  #takePiece(): Buffer {
    const [first] = this.#unparsed as [Buffer];
    const bodyBytes = this.#last?.complete === false
      ? Number(this.#last.headers["content-length"] ?? 0)
      : 0;
    const size = Math.max(PIECE_BYTES, bodyBytes - this.#parsedSinceHead);
    const piece = first.subarray(0, size);
    if (piece.length === first.length) this.#unparsed.shift();
    else this.#unparsed[0] = first.subarray(size);
    this.#unparsedBytes -= piece.length;
    this.#budget.endBytes(piece.length);
    return piece;
  }

  #dropUnparsed(): void {
    this.#budget.endBytes(this.#unparsedBytes);
    this.#unparsed = [];
    this.#unparsedBytes = 0;
  }
}
