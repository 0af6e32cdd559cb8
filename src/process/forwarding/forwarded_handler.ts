/**
 * Handles requests that other VMs pass on.
 *
 * @module
 */
import { writeRefusal } from "../../connection/refusal_body.ts";
import {
  CallerHandler,
  type CallerRequest,
} from "../../request/caller_request.ts";
import type { CallerSink } from "../../request/caller_sink.ts";
import type { Refusal } from "../../outcome.ts";
import {
  buildRefusalHeader,
  readForwarded,
} from "../../request/forwarded_request.ts";
import type { Log } from "../log.ts";

const FORBIDDEN = 403;
const UNKNOWN_SENDER: Refusal = {
  code: "no_upstream",
  message: "Only VMs of the fleet pass requests on",
  outcome: "not_run",
  isUnsent: true,
};

/** Options of `ForwardedHandler`. */
export interface ForwardedHandlerOptions {
  log: Log;
  /** Handles the request like one of this VM's own callers. */
  handler: CallerHandler;
  /** Whether a VM of the fleet has this IP address. */
  isPeer: (address: string) => boolean;
}

/** Accepts requests from VMs of the fleet only. */
export class ForwardedHandler extends CallerHandler {
  readonly #options: ForwardedHandlerOptions;

  constructor(options: ForwardedHandlerOptions) {
    super();
    this.#options = options;
  }

  static create(options: ForwardedHandlerOptions): ForwardedHandler {
    return new ForwardedHandler(options);
  }

  override async handle(
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    const { log, handler, isPeer } = this.#options;
    const forwarded = readForwarded(request);
    if (forwarded !== undefined && isPeer(request.remoteAddress)) {
      await handler.handle(forwarded, sink);
      return;
    }
    log.warn("forwarded_rejected", { peer: request.remoteAddress });
    await writeRefusal(sink, UNKNOWN_SENDER, {
      requestId: undefined,
      status: FORBIDDEN,
      // A VM that has just started may not know the sender yet, which then has to
      // try another one.
      headers: buildRefusalHeader(UNKNOWN_SENDER),
    });
  }
}
