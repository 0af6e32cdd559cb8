/**
 * Request statuses for tests.
 *
 * @module
 */
import { type RequestId, toId, type VmId } from "../../src/ids.ts";
import type { RequestStatus } from "../../src/request/request_status.ts";

/** The status of a running request without any step yet. */
export function buildRunningStatus(requestId: RequestId): RequestStatus {
  return {
    requestId,
    vm: toId<VmId>("vm-a"),
    workspace: undefined,
    className: undefined,
    arrivedAt: "",
    configVersion: 1,
    outcome: "running",
    code: undefined,
    steps: [],
    droppedSteps: 0,
    tokens: 0,
  };
}
