/**
 * Refusals of requests whose heads no listener accepts.
 *
 * @module
 */
import http from "node:http";
import { match } from "ts-pattern";
import { buildRefusal, type RefusalAnswer } from "./refusal_body.ts";

const BAD_REQUEST = 400;
const EXPECTATION_FAILED = 417;

/** The refusal of a head that asks for what no listener does, if any. */
export function findHeadRefusal(
  { headers, httpVersion }: http.IncomingMessage,
): RefusalAnswer | undefined {
  const { expect, host } = headers;
  if (httpVersion === "1.1" && host === undefined) {
    return buildBadRequest(BAD_REQUEST, "Host header is missing");
  }
  if (expect !== undefined && !/^100-continue$/i.test(expect)) {
    return buildBadRequest(
      EXPECTATION_FAILED,
      `Expectation ${expect} is not supported`,
    );
  }
  return undefined;
}

function buildBadRequest(status: number, message: string): RefusalAnswer {
  const refusal = { code: "bad_request", message, outcome: "not_run" } as const;
  const headers = { connection: "close" };
  return buildRefusal(refusal, { requestId: undefined, status, headers });
}

/** The refusal of what cannot be parsed, by the code of the parser's error. */
export function buildClientError(
  code: string,
  extraHeaders: Record<string, string>,
): RefusalAnswer {
  const { status, message } = match(code)
    .with("HPE_HEADER_OVERFLOW", () => {
      return { status: 431, message: "Request headers exceed the size limit" };
    })
    .with("ERR_HTTP_REQUEST_TIMEOUT", () => {
      return { status: 408, message: "Request was not received in time" };
    })
    .otherwise(() => ({ status: 400, message: "Request is not valid HTTP" }));
  return buildRefusal({ code: "bad_request", message, outcome: "not_run" }, {
    requestId: undefined,
    status,
    headers: { connection: "close", ...extraHeaders },
  });
}

/** The bytes of an answer that is written directly to a socket. */
export function formatAnswer(answer: RefusalAnswer): string {
  const lines = [
    `HTTP/1.1 ${answer.status} ${http.STATUS_CODES[answer.status]}`,
    ...Object.entries(answer.headers).map(([name, value]) => {
      return `${name}: ${value}`;
    }),
  ];
  return `${lines.join("\r\n")}\r\n\r\n${answer.body}`;
}
