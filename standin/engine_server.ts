/**
 * HTTP stand-in for a model engine.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { SystemClock } from "../src/process/clock.ts";
import { SeededRandom } from "../src/process/random.ts";
import { handleEngineCall } from "./engine_calls.ts";
import { EngineCore } from "./engine_core.ts";
import type { EngineOptions } from "./engine_options.ts";
import type { AnswerWriter } from "./engine_writer.ts";
import { HttpStandIn, type StandInCall } from "./http_stand_in.ts";

/** Serves an `EngineCore` over HTTP in real time. */
export class EngineServer extends HttpStandIn {
  readonly core: EngineCore;

  constructor(core: EngineCore) {
    super();
    this.core = core;
    core.setCrashHandler(() => this.destroyConnections());
  }

  static create(
    options: Partial<EngineOptions> & { seed?: number } = {},
  ): EngineServer {
    const { seed = 1, ...rest } = options;
    const random = SeededRandom.create(seed);
    return new EngineServer(
      EngineCore.create(SystemClock.create(), random, rest),
    );
  }

  protected override handleCall(
    call: StandInCall,
    response: ServerResponse,
  ): void {
    const isControl = call.path.startsWith("/control");
    if (this.core.isCrashed && !isControl) {
      response.destroy();
      return;
    }
    const cancel = handleEngineCall(this.core, call, buildWriter(response));
    response.on("close", () => {
      if (!response.writableFinished) cancel();
    });
  }
}

function buildWriter(response: ServerResponse): AnswerWriter {
  return {
    writeHead: (status, headers) => {
      response.writeHead(status, headers);
      response.flushHeaders();
    },
    write: (text) => {
      response.write(text);
    },
    end: () => {
      response.end();
    },
    destroy: () => {
      response.destroy();
    },
  };
}
