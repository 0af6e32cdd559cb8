/**
 * Runs calls of plain services.
 *
 * @module
 */
import type { PoolName } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import type { Snapshot, UpstreamPool } from "../version/records.ts";
import { checkCaller, chooseClass } from "./authenticate.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { RequestServices } from "./request_services.ts";
import { runRequest } from "./request_task.ts";
import { isIdempotentCall } from "./service_call.ts";
import { ServiceWork } from "./service_work.ts";

/** The destination of a service's call. */
export interface ServiceTarget {
  pool: PoolName;
  /** The path at the service, without the query. */
  path: string;
}

/** Runs a call. Throws `RefusalError` only if no execution was started. */
export async function runService(
  services: RequestServices,
  options: { request: CallerRequest; sink: CallerSink; snapshot: Snapshot },
  target: ServiceTarget,
): Promise<void> {
  const { request, snapshot } = options;
  const workspace = checkCaller(snapshot, request.headers);
  const pool = findServicePool(snapshot, target.pool);
  const requestClass = chooseClass(snapshot, workspace, {
    headers: request.headers,
    fallback: pool.defaultClass,
  });
  const idempotent = isIdempotentCall(request, requestClass.idempotent);
  const workRequest = { ...options, workspace, requestClass, idempotent };
  await runRequest(services, workRequest, (execution) => ({
    work: ServiceWork.create({ execution, request, pool, path: target.path }),
    promptTokens: 0,
    expectedTokens: 0,
  }));
}

function findServicePool(snapshot: Snapshot, name: PoolName): UpstreamPool {
  const pool = snapshot.pools.get(name);
  if (pool?.type === "service") return pool;
  throw new RefusalError({
    code: "not_found",
    message: `No such service: ${name}`,
    outcome: "not_run",
  });
}
