/**
 * What streamed and whole completions have in common.
 *
 * @module
 */
import type { HeldLease } from "../process/services.ts";
import type { UpstreamPool } from "../version/records.ts";
import type { Completion } from "./completion_body.ts";
import type { RequestRun } from "./request_run.ts";
import {
  type LeaseNeeds,
  UpstreamWork,
  type WorkCall,
} from "./upstream_work.ts";

/** What a completion's work begins with. */
export interface CompletionWorkStart {
  run: RequestRun;
  completion: Completion;
  /** The engine's path, the same as the caller's. */
  path: string;
}

/** A completion on a model engine. */
export abstract class CompletionWork extends UpstreamWork {
  protected readonly start: CompletionWorkStart;

  constructor(start: CompletionWorkStart) {
    super();
    this.start = start;
  }

  override get pool(): UpstreamPool {
    return this.start.completion.pool;
  }

  override buildLeaseNeeds(): LeaseNeeds {
    const { model, adapter, promptTokens, maxTokens, prefixes } =
      this.start.completion;
    return {
      model,
      adapter,
      promptTokens,
      maxTokens,
      doneTokens: 0,
      prefixes,
    };
  }

  override buildCall(lease: HeldLease): WorkCall {
    return this.buildCallWith(lease, { headers: {}, fields: {} });
  }

  /** The call with further headers and body fields. */
  protected buildCallWith(
    lease: HeldLease,
    more: { headers: Record<string, string>; fields: Record<string, unknown> },
  ): WorkCall {
    const { completion, path, run } = this.start;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      accept: completion.stream ? "text/event-stream" : "application/json",
      "x-request-id": run.id,
      "x-priority": String(lease.priority),
      ...more.headers,
    };
    if (completion.prefixes.length > 0) {
      headers["x-prefix-hashes"] = completion.prefixes.join(",");
    }
    const body = { ...completion.body, ...more.fields };
    return {
      method: "POST",
      path,
      headers,
      body: Buffer.from(JSON.stringify(body)),
    };
  }
}
