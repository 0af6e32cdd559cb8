/**
 * HTTP stand-in for a plain service.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { z } from "zod";
import {
  HttpStandIn,
  readJsonBody,
  sendJson,
  type StandInCall,
} from "./http_stand_in.ts";
import { ServiceCore } from "./service_core.ts";

const CONTROL_BODY = z.object({
  faults: z.array(
    z.enum(["not_started", "cut_before", "cut_after", "hang", "failed"]),
  ).optional(),
  delay_ms: z.number().optional(),
}).strict();

/** Serves a `ServiceCore` over HTTP. */
export class ServiceServer extends HttpStandIn {
  readonly core: ServiceCore;
  #delayMs: number;

  constructor(core: ServiceCore, delayMs: number) {
    super();
    this.core = core;
    this.#delayMs = delayMs;
  }

  /** `delayMs` is the delay of each answer. */
  static create(options: { delayMs?: number } = {}): ServiceServer {
    return new ServiceServer(ServiceCore.create(), options.delayMs ?? 2);
  }

  protected override async handleCall(
    call: StandInCall,
    response: ServerResponse,
  ): Promise<void> {
    if (call.path.startsWith("/control")) {
      this.#handleControl(call, response);
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, this.#delayMs));
    const answer = this.core.handleCall({
      method: call.method,
      path: call.path,
      requestId: call.headers["x-request-id"] ?? "",
      body: new TextDecoder().decode(call.body),
    });
    if (answer.kind === "answer") sendJson(response, answer);
    if (answer.kind === "cut") response.destroy();
  }

  #handleControl(call: StandInCall, response: ServerResponse): void {
    if (call.method === "GET") {
      const body = {
        calls: this.core.listCalls(),
        executions: this.core.listExecutions(),
      };
      sendJson(response, { status: 200, body });
      return;
    }
    const body = CONTROL_BODY.parse(readJsonBody(call));
    if (body.faults !== undefined) this.core.setFaults(body.faults);
    if (body.delay_ms !== undefined) this.#delayMs = body.delay_ms;
    sendJson(response, { status: 200, body: {} });
  }
}
