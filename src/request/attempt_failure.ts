/**
 * Classifies the errors of failed attempts.
 *
 * @module
 */
import { match } from "ts-pattern";
import {
  UpstreamError,
  type UpstreamErrorKind,
} from "../connection/upstream_transport.ts";
import type { VmId } from "../ids.ts";
import type { RefusalCode } from "../outcome.ts";
import { PeerRefusalError } from "./forwarded_request.ts";
import { BrokenAnswerError, TruncatedAnswerError } from "./upstream_work.ts";

const LOST_KINDS: ReadonlySet<UpstreamErrorKind> = new Set(["broken", "write"]);

/** A failed attempt. */
export interface AttemptFailure {
  upstream: VmId;
  code: RefusalCode;
  message: string;
  /** False only if the upstream certainly did not run the request. */
  mayHaveRun: boolean;
  /** Whether any byte of the request was written. */
  wasSent: boolean;
  /** Upstreams that may have got it, if it was sent. */
  sends: number;
  /** Whether the connection to the upstream was lost during the request. */
  isConnectionLost: boolean;
}

/**
 * Classifies the error that ended an attempt, which `maxSends` upstreams may
 * have got.
 */
export function toFailure(
  error: Error,
  { upstream, maxSends }: { upstream: VmId; maxSends: number },
): AttemptFailure {
  if (error instanceof PeerRefusalError) {
    const { code, message, outcome } = error.refusal;
    const mayHaveRun = outcome !== "not_run";
    return {
      upstream,
      code,
      message,
      mayHaveRun,
      wasSent: mayHaveRun,
      sends: maxSends,
      isConnectionLost: false,
    };
  }
  if (error instanceof UpstreamError) {
    return {
      upstream,
      code: chooseCode(error.kind),
      message: error.message,
      mayHaveRun: error.mayHaveRun,
      wasSent: error.mayHaveRun,
      sends: maxSends,
      isConnectionLost: error.mayHaveRun && LOST_KINDS.has(error.kind),
    };
  }
  const notStarted = error instanceof BrokenAnswerError && error.notStarted;
  const isTruncated = error instanceof TruncatedAnswerError;
  return {
    upstream,
    code: isTruncated ? "answer_truncated" : "upstream_failed",
    message: error.message,
    mayHaveRun: !notStarted,
    wasSent: true,
    sends: maxSends,
    // An upstream that crashes may close its connections in order.
    isConnectionLost: isTruncated,
  };
}

function chooseCode(kind: UpstreamErrorKind): RefusalCode {
  return match(kind)
    .returnType<RefusalCode>()
    .with(
      "first_byte_timeout",
      "between_bytes_timeout",
      "total_timeout",
      () => "upstream_timeout",
    )
    .with(
      "connect",
      "not_sent",
      "write",
      "broken",
      "aborted",
      () => "upstream_failed",
    )
    .exhaustive();
}
