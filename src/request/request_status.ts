/**
 * The record of what became of one request, step by step.
 *
 * @module
 */
import type { ClassName, RequestId, VmId, WorkspaceName } from "../ids.ts";
import type { RefusalCode, RunOutcome } from "../outcome.ts";

/** The steps that a request can take. */
export type RequestStepName =
  | "arrived"
  | "claimed"
  | "admitted"
  | "queued"
  | "passed_on"
  | "granted"
  | "sent"
  | "first_token"
  | "stream_broken"
  | "preempted"
  | "resumed"
  | "retried"
  | "answered"
  | "refused"
  | "cancelled"
  | "unknown";

/** One step with its time, peer and cause. */
export interface RequestStep {
  step: RequestStepName;
  /** Time since the request arrived at this VM, in milliseconds. */
  ageMs: number;
  /** The VM or upstream on the other side. */
  peer?: string;
  /** Why, or behind whom, in plain words. */
  detail?: string | undefined;
}

/** Everything that a VM knows of one request. */
export interface RequestStatus {
  requestId: RequestId;
  /** The VM that ran the request's task. */
  vm: VmId;
  workspace: WorkspaceName | undefined;
  className: ClassName | undefined;
  /** Calendar time of arrival on this VM's own clock. */
  arrivedAt: string;
  configVersion: number;
  outcome: RunOutcome | "running" | "answered";
  code: RefusalCode | undefined;
  steps: RequestStep[];
  /** Steps left out because the record reached its bound. */
  droppedSteps: number;
  tokens: number;
}
