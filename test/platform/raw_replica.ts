/**
 * Stand-in for a replica that writes the bytes of its answers itself, in any
 * framing.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { HttpStandIn, type StandInCall } from "../../standin/http_stand_in.ts";

/** How an answer says where it ends. */
export type Framing = "close" | "chunked" | "length";

/** An answer as written to the connection. */
export interface RawAnswer {
  status: number;
  /** No such header if empty. */
  contentType: string;
  framing: Framing;
  body: Buffer;
  /** Whether to reset the connection where the answer would end. */
  isReset?: boolean;
}

/** A replica whose answers a test writes. */
export class RawReplica extends HttpStandIn {
  readonly id: string;
  answer: RawAnswer;
  /** Received requests. */
  readonly ran: StandInCall[] = [];

  constructor(id: string, answer: RawAnswer) {
    super();
    this.id = id;
    this.answer = answer;
  }

  static create(id: string, answer: RawAnswer): RawReplica {
    return new RawReplica(id, answer);
  }

  protected override handleCall(
    call: StandInCall,
    response: ServerResponse,
  ): void {
    this.ran.push(call);
    const { body, framing, isReset } = this.answer;
    const socket = response.socket!;
    socket.write(this.#formatHead(call));
    if (framing === "chunked") {
      if (body.length > 0) {
        socket.write(`${body.length.toString(16)}\r\n`);
        socket.write(body);
        socket.write("\r\n");
      }
      if (!isReset) socket.write("0\r\n\r\n");
    } else {
      socket.write(body);
    }
    if (isReset) socket.resetAndDestroy();
    else socket.end();
  }

  #formatHead(call: StandInCall): string {
    const { status, contentType, framing, body } = this.answer;
    const lines = [
      `HTTP/1.1 ${status} Answer`,
      `x-request-id: ${call.headers["x-request-id"]}`,
      "x-response-seal: seal",
    ];
    if (contentType !== "") lines.push(`content-type: ${contentType}`);
    if (framing === "chunked") lines.push("transfer-encoding: chunked");
    if (framing === "length") lines.push(`content-length: ${body.length}`);
    return `${lines.join("\r\n")}\r\n\r\n`;
  }
}
