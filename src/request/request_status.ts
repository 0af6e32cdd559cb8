/**
 * The status of one request, with the steps that it went through.
 *
 * @module
 */
import type { ClassName, RequestId, VmId, WorkspaceName } from "../ids.ts";
import type { ExecutionOutcome, RefusalCode } from "../outcome.ts";

/** The steps of a request. */
export type RequestStepName =
  | "arrived"
  | "claimed"
  | "admitted"
  | "queued"
  | "passed_on"
  | "granted"
  | "sent"
  | "forwarded"
  | "first_token"
  | "stream_broken"
  | "preempted"
  | "resumed"
  | "retried"
  | "answered"
  | "refused"
  | "cancelled"
  | "unknown";

/** One step of a request. */
export interface RequestStep {
  step: RequestStepName;
  /** Time since the request arrived at this VM, in milliseconds. */
  ageMs: number;
  /** The VM or upstream on the other side. */
  peer?: string;
  /** The cause, or the state of the queue, as free text. */
  detail?: string | undefined;
}

/** Everything that a VM has recorded about one request. */
export interface RequestStatus {
  requestId: RequestId;
  /** The VM that handled the request. */
  vm: VmId;
  workspace: WorkspaceName | undefined;
  className: ClassName | undefined;
  /** Wall-clock time of arrival, by that VM's own clock, in ISO 8601. */
  arrivedAt: string;
  configVersion: number;
  outcome: ExecutionOutcome | "running" | "answered";
  code: RefusalCode | undefined;
  steps: RequestStep[];
  /** Steps not recorded because the limit was reached. */
  droppedSteps: number;
  tokens: number;
}
