/**
 * Compares the request statuses that VMs report with what callers and upstreams
 * observed.
 *
 * @module
 */
import { readEnd, readRequestId } from "./fuzz_answer.ts";
import { formatName, listSends, type Violation } from "./fuzz_oracle.ts";
import type { FuzzSink } from "./fuzz_sink.ts";
import type { FuzzWorld, Submission } from "./fuzz_world.ts";

/** Longer than the time-out of a call to a peer. */
const ANSWER_MS = 4_000;

interface RequestStatusPage {
  outcome: string;
  vm?: string;
  code?: string;
  config_version?: number;
  dropped_steps?: number;
  steps: { step: string; peer?: string }[];
}

/** Queries and checks the status of every request whose id a caller knows. */
export async function findFalseStatuses(
  world: FuzzWorld,
): Promise<Violation[]> {
  const byId = new Map<string, Submission>();
  for (const submission of world.submissions) {
    const id = readRequestId(submission.sink) ?? submission.request.issuedId;
    if (id !== undefined && !byId.has(id)) byId.set(id, submission);
  }
  const queries = [...byId].map(([id, submission]) => ({
    id,
    submission,
    answer: sendStatusQuery(world, submission, id),
  }));
  await world.run(ANSWER_MS);
  return queries.flatMap(({ id, submission, answer }) => [
    ...checkStatus(world, submission, answer),
    ...checkVersion(submission, id),
  ]);
}

/** Queries a random VM for a request's status. */
function sendStatusQuery(
  world: FuzzWorld,
  { request }: Submission,
  id: string,
): FuzzSink | undefined {
  const vm = world.random.pick(world.listLiveVms());
  return vm && world.sendQuery(vm, {
    method: "GET",
    path: `/v1/requests/${encodeURIComponent(id)}`,
    workspace: request.workspace,
  });
}

function checkStatus(
  world: FuzzWorld,
  submission: Submission,
  sink: FuzzSink | undefined,
): Violation[] {
  const name = formatName(submission);
  if (sink === undefined) return [];
  if (sink.state !== "ended") {
    return [{
      invariant: "false_fate",
      detail: `${name}: no VM reports its status`,
    }];
  }
  const answer = JSON.parse(sink.text);
  if (answer.error !== undefined) return [];
  const status = answer as RequestStatusPage;
  return checkAgainstSends(world, submission, status)
    .concat(checkAgainstCallers(world, submission, status))
    .map((detail) => ({
      invariant: "false_fate",
      detail: `${name} is reported as ${status.outcome}: ${detail}`,
    }));
}

function checkAgainstSends(
  world: FuzzWorld,
  { request }: Submission,
  status: RequestStatusPage,
): string[] {
  const found: string[] = [];
  const sends = listSends(world, request.tag);
  const begun = sends.filter((send) => send.began).length;
  if (status.outcome === "running") found.push("nothing is running any more");
  if (status.outcome === "not_run" && begun > 0) {
    found.push(`upstreams started it ${begun} times`);
  }
  const isReportedAsRun = status.outcome === "ran" ||
    status.outcome === "answered";
  if (isReportedAsRun && begun === 0) found.push("no upstream started it");
  if (status.vm === undefined || (status.dropped_steps ?? 0) > 0) return found;
  const incarnations = world.vms
    .filter((vm) => vm.id === status.vm).map((vm) => vm.incarnation);
  const recorded = status.steps.filter(({ step }) => step === "sent").length;
  const own = sends.filter((send) =>
    incarnations.some((incarnation) => incarnation === send.incarnation)
  );
  if (own.length > recorded) {
    found.push(`${own.length} sends but ${recorded} recorded "sent" steps`);
  }
  return found;
}

function checkAgainstCallers(
  world: FuzzWorld,
  { request }: Submission,
  status: RequestStatusPage,
): string[] {
  const own = world.submissions.filter((one) => one.request === request);
  const ends = own.map(readEnd);
  const wasWhole = ends.some(({ kind }) => kind === "whole");
  const found: string[] = [];
  if (wasWhole && !["answered", "unknown"].includes(status.outcome)) {
    found.push("a caller got the complete answer");
  }
  const [only] = ends;
  if (own.length !== 1 || only?.kind !== "refused") return found;
  const isSame = only.outcome === status.outcome ||
    status.outcome === "unknown";
  if (!isSame) found.push(`its caller got the outcome ${only.outcome}`);
  return found;
}

/** Checks that the status has the version in force at admission. */
function checkVersion(
  { vm, version, request }: Submission,
  id: string,
): Violation[] {
  if (request.issuedId !== undefined || vm.isDead) return [];
  const status = vm.runtime.requestStatuses.find(id as never);
  if (status === undefined || status.configVersion === version) return [];
  const detail = `${id} was admitted under version ${version} and has ` +
    `status version ${status.configVersion}`;
  return [{ invariant: "version_not_kept", detail }];
}
