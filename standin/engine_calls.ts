/**
 * Serves the engine calls of docs/PLATFORM.md from an `EngineCore`,
 * independently of the transport: used by the HTTP stand-in and by in-process
 * fakes.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import { z } from "zod";
import type { LoadReport } from "../src/connection/upstream_transport.ts";
import { toError } from "../src/errors.ts";
import {
  type CompletionCall,
  type EngineCall,
  parseCompletionCall,
} from "./engine_body.ts";
import type { EngineCore } from "./engine_core.ts";
import {
  type AnswerWriter,
  RunWriter,
  writeError,
  writeJson,
} from "./engine_writer.ts";

/** Cancels a call; does nothing once the call has ended. */
export type CancelCall = () => void;

const MAX_TIMER_MS = 2 ** 31 - 1;

const COMMAND_BODY = z.object({
  action: z.enum(["load", "unload", "role"]),
  model: z.string().default(""),
  version: z.string().default(""),
  adapter: z.string().optional(),
  role: z.string().optional(),
  fencing: z.number(),
});

const CONTROL_BODY = z.object({
  crash_after_tokens: z.number().optional(),
  start_again: z.boolean().optional(),
  // Node fires a longer timer at once.
  stall_ms: z.number().max(MAX_TIMER_MS).optional(),
  drop_listeners: z.boolean().optional(),
  silent_next: z.number().optional(),
  refuse_next: z.number().optional(),
  leaving: z.boolean().optional(),
  options: z.object({
    speedFactor: z.number(),
    baseMs: z.number(),
    perRunningMs: z.number(),
    maxBatch: z.number(),
    loadLagMs: z.number(),
    cacheEventDelayMs: z.number(),
    cacheEventGapShare: z.number(),
  }).partial().strict().optional(),
}).strict();

type ControlBody = z.infer<typeof CONTROL_BODY>;

/**
 * Serves one call. The answer is written to `writer`, at once or as the engine
 * generates it.
 */
export function handleEngineCall(
  core: EngineCore,
  call: EngineCall,
  writer: AnswerWriter,
): CancelCall {
  const url = new URL(call.path, "http://engine");
  let cancel: CancelCall = () => {};
  try {
    match(`${call.method} ${url.pathname}`)
      .with(
        P.union("POST /v1/completions", "POST /v1/chat/completions"),
        () => {
          cancel = startCompletion(core, parseCompletionCall(call), writer);
        },
      )
      .with("GET /v1/load", () => {
        writeJson(writer, { status: 200, body: toLoadBody(core.getLoad()) });
      })
      .with("GET /v1/cache/events", () => {
        const after = Number(url.searchParams.get("after") ?? "0");
        const events = core.listCacheEvents(after);
        writeJson(writer, { status: 200, body: { events } });
      })
      .with("GET /v1/cache/export", () => {
        const requested = (url.searchParams.get("prefixes") ?? "").split(",");
        writePrefixes(writer, core.listCached(requested));
      })
      .with("POST /v1/cache/import", () => {
        const imported = core.addCached(readPrefixes(call.body));
        writeJson(writer, { status: 200, body: { imported } });
      })
      .with("POST /v1/orders", () => handleCommand(core, call, writer))
      .with("POST /control", () => {
        applyControl(core, CONTROL_BODY.parse(readJson(call.body)));
        writeJson(writer, { status: 200, body: {} });
      })
      .with("GET /control/counts", () => {
        writeJson(writer, { status: 200, body: core.counts });
      })
      .with("GET /control/runs", () => {
        const id = url.searchParams.get("request_id");
        const ids = id === null ? core.listRequestIds() : [id];
        const runs = ids.flatMap((one) => core.listRuns(one));
        writeJson(writer, { status: 200, body: { runs } });
      })
      .otherwise(() => {
        const message = "Unknown path or method";
        writeError(writer, { status: 404, code: "not_found", message });
      });
  } catch (thrown) {
    const message = toError(thrown).message;
    writeError(writer, { status: 400, code: "bad_request", message });
  }
  return cancel;
}

function startCompletion(
  core: EngineCore,
  call: CompletionCall,
  writer: AnswerWriter,
): CancelCall {
  const runWriter = RunWriter.create(call, writer);
  const answer = core.startRun(call.request, runWriter);
  return match(answer)
    .with({ kind: "accepted" }, ({ run }) => {
      runWriter.start(run);
      return () => run.cancel();
    })
    .with({ kind: "not_started" }, ({ message }) => {
      writeError(writer, { status: 503, code: "not_started", message });
      return () => {};
    })
    .with({ kind: "bad_request" }, ({ message }) => {
      writeError(writer, { status: 400, code: "bad_request", message });
      return () => {};
    })
    .exhaustive();
}

function handleCommand(
  core: EngineCore,
  call: EngineCall,
  writer: AnswerWriter,
): void {
  const body = COMMAND_BODY.parse(readJson(call.body));
  const command = { ...body, adapter: body.adapter, role: body.role };
  if (core.applyCommand(command)) {
    writeJson(writer, { status: 200, body: { accepted: true } });
    return;
  }
  const message = "The fencing number is outdated";
  writeError(writer, { status: 409, code: "old_fencing", message });
}

function applyControl(core: EngineCore, body: ControlBody): void {
  if (body.options !== undefined) Object.assign(core.options, body.options);
  if (body.leaving !== undefined) core.setLeaving(body.leaving);
  if (body.silent_next !== undefined) {
    core.silenceNextRequests(body.silent_next);
  }
  if (body.refuse_next !== undefined) core.refuseNextRequests(body.refuse_next);
  if (body.stall_ms !== undefined) core.setStall(body.stall_ms);
  if (body.drop_listeners) core.silenceRunningRequests();
  if (body.start_again) core.restart();
  if (body.crash_after_tokens !== undefined) {
    core.setCrashAfter(body.crash_after_tokens);
  }
}

function toLoadBody(report: LoadReport) {
  return {
    age_ms: report.ageMs,
    running: report.running,
    waiting: report.waiting,
    cache_used: report.cacheUsed,
    leaving: report.leaving,
    models: report.models,
    role: report.role,
    fencing: report.fencing,
    cache_sequence: report.cacheSequence,
  };
}

function writePrefixes(
  writer: AnswerWriter,
  prefixes: readonly string[],
): void {
  const text = prefixes.join("\n");
  writer.writeHead(200, { "content-type": "application/octet-stream" });
  writer.write(text);
  writer.end();
}

function readPrefixes(body: Uint8Array): string[] {
  return new TextDecoder().decode(body).split("\n")
    .filter((prefix) => prefix !== "");
}

function readJson(body: Uint8Array): unknown {
  return JSON.parse(new TextDecoder().decode(body));
}
