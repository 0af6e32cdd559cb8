/**
 * Calls of plain services.
 *
 * @module
 */
import { copyEndToEndHeaders } from "../connection/headers.ts";
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import type { UpstreamPool } from "../version/records.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import { type CallerRequest, formatTarget } from "./caller_request.ts";
import type { RequestExecution } from "./request_execution.ts";
import { copyServiceHeaders } from "./service_call.ts";
import { readUpstreamSignals } from "./upstream_signals.ts";
import {
  BrokenAnswerError,
  checkNotCancelled,
  type LeaseRequirements,
  type RelayOptions,
  UpstreamWork,
  type WorkCall,
} from "./upstream_work.ts";

const NOT_STARTED_HEADER = "x-not-started";
const SERVICE_UNAVAILABLE = 503;
/** Statuses on which an idempotent call is retried at another replica. */
const RETRIED_STATUSES = new Set([502, 503, 504]);

/** The input of a service call's work. */
export interface ServiceWorkContext {
  execution: RequestExecution;
  request: CallerRequest;
  pool: UpstreamPool;
  /** The path at the service, without the query. */
  path: string;
}

/** Forwards one call to a service, and its answer as it arrives. */
export class ServiceWork extends UpstreamWork {
  readonly #context: ServiceWorkContext;
  readonly #collector: AnswerCollector;

  constructor(context: ServiceWorkContext) {
    super();
    this.#context = context;
    this.#collector = AnswerCollector.create(context.execution);
  }

  static create(context: ServiceWorkContext): ServiceWork {
    return new ServiceWork(context);
  }

  override get pool(): UpstreamPool {
    return this.#context.pool;
  }

  override buildLeaseRequirements(): LeaseRequirements {
    return {
      model: undefined,
      adapter: undefined,
      promptTokens: 0,
      maxTokens: 0,
      doneTokens: 0,
      prefixes: [],
    };
  }

  override buildCall(lease: HeldLease): WorkCall {
    const { request, path, execution } = this.#context;
    return {
      method: request.method,
      path: formatTarget(path, request),
      headers: {
        ...copyServiceHeaders(copyEndToEndHeaders(request.headers)),
        "x-request-id": execution.id,
        "x-priority": String(lease.priority),
      },
      body: request.body,
    };
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    const { execution } = this.#context;
    const { sink, idempotent } = execution.options;
    options.onSignals(readUpstreamSignals(answer));
    checkStatus(answer, idempotent);
    execution.noteRan();
    const headers = buildAnswerHeaders(execution, answer.headers);
    this.#collector.noteHead(answer.status, headers);
    for await (const bytes of answer.body) {
      checkNotCancelled(options);
      // The head is written with the first byte of the body: an answer that
      // breaks before it can still be retried.
      if (!sink.headWritten) sink.writeHead(answer.status, headers);
      this.#collector.noteBytes(bytes);
      await sink.write(bytes);
    }
    options.onComplete();
    this.#collector.putAnswer();
    if (!sink.headWritten) sink.writeHead(answer.status, headers);
    await sink.end();
  }

  override canContinue(): boolean {
    return !this.#context.execution.options.sink.headWritten;
  }

  override endIncomplete(_refusal: Refusal): Promise<void> {
    return this.#context.execution.options.sink.destroyWritten();
  }
}

function checkStatus(answer: UpstreamAnswer, idempotent: boolean): void {
  const isNotStarted = answer.status === SERVICE_UNAVAILABLE &&
    answer.headers[NOT_STARTED_HEADER] === "1";
  if (isNotStarted) {
    throw new BrokenAnswerError(
      "Service answered 503 without starting the request",
      { notStarted: true },
    );
  }
  if (idempotent && RETRIED_STATUSES.has(answer.status)) {
    throw BrokenAnswerError.create(`Service answered ${answer.status}`);
  }
}
