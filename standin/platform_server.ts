/**
 * HTTP stand-in for the configuration and membership service.
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
import { PlatformCore } from "./platform_core.ts";

const MAX_WAIT_MS = 60_000;
const GROUP_PATH = /^\/v1\/values\/groups\/([^/]+)\/(\d+)$/;

const CONTROL_BODY = z.object({
  /** Groups to publish under the next version. */
  groups: z.record(z.string(), z.array(z.unknown())).optional(),
  /** VMs to publish under the next revision. */
  vms: z.array(z.unknown()).optional(),
  fault: z.enum(["none", "down", "stale"]).optional(),
  behind: z.number().int().positive().optional(),
}).strict();

/**
 * A long poll; `read` returns the newer state, or undefined until there is one.
 */
interface Watch<T> {
  read: () => T | undefined;
  waitMs: number;
  response: ServerResponse;
}

/**
 * Serves a `PlatformCore` over HTTP. Two services that disagree need two
 * servers.
 */
export class PlatformServer extends HttpStandIn {
  readonly core: PlatformCore;

  constructor(core: PlatformCore) {
    super();
    this.core = core;
  }

  static create(core = PlatformCore.create()): PlatformServer {
    return new PlatformServer(core);
  }

  protected override async handleCall(
    call: StandInCall,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(call.path, "http://platform");
    if (url.pathname.startsWith("/control")) {
      this.#handleControl(call, response);
      return;
    }
    this.core.noteCall();
    if (this.core.fault === "down") {
      response.destroy();
      return;
    }
    await this.#answerRead(url, response);
  }

  async #answerRead(url: URL, response: ServerResponse): Promise<void> {
    const after = url.searchParams.get("after");
    const requestedWaitMs = Number(url.searchParams.get("wait_ms") ?? "0");
    const waitMs = Math.min(requestedWaitMs, MAX_WAIT_MS);
    const group = GROUP_PATH.exec(url.pathname);
    if (url.pathname === "/v1/values/index") {
      const read = () => {
        const index = this.core.getIndex();
        return isNewer(index?.version, after) ? index : undefined;
      };
      await this.#answerWatch({ read, waitMs, response });
    } else if (url.pathname === "/v1/membership") {
      const read = () => {
        const list = this.core.getList();
        return isNewer(list?.revision, after) ? list : undefined;
      };
      await this.#answerWatch({ read, waitMs, response });
    } else if (group !== null) {
      this.#answerGroup(group[1]!, { version: Number(group[2]), response });
    } else {
      sendJson(response, {
        status: 404,
        body: { error: "Unknown path or method" },
      });
    }
  }

  #answerGroup(
    name: string,
    options: { version: number; response: ServerResponse },
  ): void {
    const records = this.core.findGroup(name, options.version);
    const answer = records === undefined
      ? { status: 404, body: { error: "Unknown group name or version" } }
      : { status: 200, body: { records } };
    sendJson(options.response, answer);
  }

  async #answerWatch<T>(watch: Watch<T>): Promise<void> {
    const { response } = watch;
    const timer = createTimeout(watch.waitMs);
    const closed = new Promise<void>((resolve) =>
      response.on("close", resolve)
    );
    let value = watch.read();
    while (value === undefined && !timer.isOver() && !response.destroyed) {
      await Promise.race([this.core.waitForChange(), timer.promise, closed]);
      if (this.core.fault === "down") response.destroy();
      value = watch.read();
    }
    timer.clear();
    if (response.destroyed) return;
    if (value !== undefined) return sendJson(response, buildFound(value));
    response.writeHead(304);
    response.end();
  }

  #handleControl(call: StandInCall, response: ServerResponse): void {
    if (call.method === "POST") {
      const body = CONTROL_BODY.parse(readJsonBody(call));
      if (body.groups !== undefined) this.core.addVersion(body.groups);
      if (body.vms !== undefined) this.core.addList(body.vms);
      if (body.fault !== undefined) this.core.setFault(body.fault, body.behind);
    }
    const body = {
      calls: this.core.calls,
      version: this.core.getIndex()?.version ?? 0,
      revision: this.core.getList()?.revision ?? 0,
    };
    sendJson(response, { status: 200, body });
  }
}

function buildFound<T>(body: T): { status: number; body: T } {
  return { status: 200, body };
}

/** Compares with `after`; without it, every published version is newer. */
function isNewer(version: number | undefined, after: string | null): boolean {
  return version !== undefined && version > Number(after ?? "-1");
}

function createTimeout(ms: number) {
  let over = ms <= 0;
  let timer: NodeJS.Timeout | undefined;
  const promise = new Promise<void>((resolve) => {
    timer = setTimeout(() => {
      over = true;
      resolve();
    }, ms);
  });
  return {
    promise,
    isOver: () => over,
    clear: () => clearTimeout(timer),
  };
}
