/**
 * Base of streamed and buffered completions.
 *
 * @module
 */
import type { HeldLease } from "../process/services.ts";
import type { UpstreamPool } from "../version/records.ts";
import type { Completion } from "./completion_body.ts";
import type { RequestExecution } from "./request_execution.ts";
import {
  type LeaseRequirements,
  UpstreamWork,
  type WorkCall,
} from "./upstream_work.ts";

/** The input of a completion's work. */
export interface CompletionWorkContext {
  execution: RequestExecution;
  completion: Completion;
  /** The path at the engine: the same as the caller's. */
  path: string;
}

/** A completion served by a model engine. */
export abstract class CompletionWork extends UpstreamWork {
  protected readonly context: CompletionWorkContext;

  constructor(context: CompletionWorkContext) {
    super();
    this.context = context;
  }

  override get pool(): UpstreamPool {
    return this.context.completion.pool;
  }

  override listSharedParts(): string[] {
    return this.context.completion.prefixes;
  }

  override buildLeaseRequirements(): LeaseRequirements {
    const { model, adapter, promptTokens, maxTokens, prefixes } =
      this.context.completion;
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

  /** Builds the call with additional headers and body fields. */
  protected buildCallWith(
    lease: HeldLease,
    more: { headers: Record<string, string>; fields: Record<string, unknown> },
  ): WorkCall {
    const { completion, path, execution } = this.context;
    const headers: Record<string, string> = {
      "content-type": "application/json",
      accept: completion.stream ? "text/event-stream" : "application/json",
      "x-request-id": execution.id,
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
