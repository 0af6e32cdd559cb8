/**
 * Checks the invariants of a run by what callers and upstreams observed, and by
 * the state that remains in the VMs once they are idle.
 *
 * @module
 */
import { type CallerEnd, readEnd, readRequestId } from "./fuzz_answer.ts";
import type { SendRecord } from "./fuzz_upstreams.ts";
import type { FuzzWorld, Submission } from "./fuzz_world.ts";
import type { QueueViolation } from "./queue_observer.ts";

/** An invariant that a run can violate. */
export type Invariant =
  | QueueViolation["invariant"]
  | "no_end"
  | "wrong_answer"
  | "false_not_run"
  | "doubled"
  | "leak"
  | "version_reverted"
  | "version_not_in_force"
  | "version_not_kept"
  | "work_while_leaving"
  | "sent_after_pause"
  | "false_fate";

/** One violated invariant. */
export interface Violation {
  invariant: Invariant;
  detail: string;
}

/** "A few seconds" until a leaving upstream gets no new work. */
const LEAVING_NOTICED_MS = 5_000;

/** Runs the checks that need only the records of the run. */
export function findViolations(world: FuzzWorld): Violation[] {
  return [
    ...world.queueObserver.violations,
    ...world.submissions.flatMap((one) => checkSubmission(world, one)),
    ...findDuplicateExecutions(world),
    ...findSendsAfterPause(world),
    ...findRevertedVersions(world),
    ...findOutdatedVersions(world),
    ...findLeaks(world),
  ];
}

/** Lists the sends of a request by its tag. */
export function listSends(world: FuzzWorld, tag: number): SendRecord[] {
  return world.upstreams.sends.filter((send) => send.tag === tag);
}

function checkSubmission(
  world: FuzzWorld,
  submission: Submission,
): Violation[] {
  const end = readEnd(submission);
  const name = formatName(submission);
  const broken: Violation[] = [];
  if (end.kind === "open") {
    broken.push({ invariant: "no_end", detail: `${name} never ended` });
  }
  if (end.kind === "wrong") {
    const detail = `${name}: ${end.detail}`;
    broken.push({ invariant: "wrong_answer", detail });
  }
  const falseNotRun = findFalseNotRun(world, submission, end);
  if (falseNotRun !== undefined) {
    broken.push({ invariant: "false_not_run", detail: falseNotRun });
  }
  return broken;
}

/**
 * Finds a false `not_run`: an upstream started the request before the refusal,
 * or started it later for this very submission.
 */
function findFalseNotRun(
  world: FuzzWorld,
  submission: Submission,
  end: CallerEnd,
): string | undefined {
  if (end.kind !== "refused" || end.outcome !== "not_run") return undefined;
  const { request, vm, sink } = submission;
  const refusedAt = sink.headAt!;
  const begun = listSends(world, request.tag).filter((send) => send.began);
  const run = begun.find((send) => {
    if (send.at <= refusedAt) return true;
    return !world.submissions.some((other) =>
      other !== submission && other.request === request &&
      other.vm.incarnation === send.incarnation &&
      other.submittedAt <= send.at
    );
  });
  if (run === undefined) return undefined;
  return `${formatName(submission)} was refused as not_run (${end.code}) by ` +
    `${vm.id} at ${refusedAt}, started by ${run.upstream} at ${run.at}`;
}

function findDuplicateExecutions(world: FuzzWorld): Violation[] {
  const requests = new Set(world.submissions.map(({ request }) => request));
  return [...requests].flatMap((request) => {
    if (request.isIdempotent) return [];
    const begun = listSends(world, request.tag).filter((send) => send.began);
    if (begun.length <= 1) return [];
    const where = begun.map(({ upstream, at }) => `${upstream} at ${at}`);
    const detail = `${request.className} ${request.tag} ran at ${
      where.join(", ")
    }`;
    return [{ invariant: "doubled" as const, detail }];
  });
}

/** A VM that was paused past its leases must not send when it resumes. */
function findSendsAfterPause(world: FuzzWorld): Violation[] {
  return world.upstreams.sends.filter(({ wasAfterPause }) => wasAfterPause)
    .map(({ tag, upstream, at }) => ({
      invariant: "sent_after_pause",
      detail: `Request ${tag} was sent to ${upstream} at ${at}`,
    }));
}

function findRevertedVersions(world: FuzzWorld): Violation[] {
  return world.vms.flatMap((vm) => {
    const at = vm.versions.findIndex((version, index) =>
      index > 0 && version < vm.versions[index - 1]!
    );
    if (at < 0) return [];
    const detail = `${vm.id} applied ${vm.versions.join(", ")}`;
    return [{ invariant: "version_reverted" as const, detail }];
  });
}

/** All live VMs must apply the highest valid version that any can know. */
function findOutdatedVersions(world: FuzzWorld): Violation[] {
  const vms = world.listLiveVms();
  const highest = Math.max(...world.versions.keys());
  const known = vms.map((vm) => vm.versions.at(-1) ?? 0);
  const isValid = world.versions.get(highest) === true;
  const expected = isValid ? highest : Math.max(0, ...known);
  return vms.flatMap((vm, index) => {
    if (known[index] === expected) return [];
    const detail = `${vm.id} has version ${known[index]}, not ${expected}`;
    return [{ invariant: "version_not_in_force" as const, detail }];
  });
}

/** Finds work that leaving upstreams started; checked before faults end. */
export function findWorkWhileLeaving(world: FuzzWorld): Violation[] {
  const undisturbedSince = world.disturbances.getUndisturbedSince([
    "link",
    "loss",
    "paused",
    "killed",
    "service",
    "drain",
  ]);
  return [...world.leavingSince].flatMap(([upstream, since]) => {
    const from = Math.max(since, undisturbedSince) + LEAVING_NOTICED_MS;
    const late = world.upstreams.sends.find((send) =>
      send.upstream === upstream && send.at > from && send.began
    );
    if (late === undefined) return [];
    const detail =
      `${upstream} left at ${since} and started work at ${late.at}`;
    return [{ invariant: "work_while_leaving" as const, detail }];
  });
}

function findLeaks(world: FuzzWorld): Violation[] {
  const found: string[] = [];
  const expectNone = (count: number, what: string) => {
    if (count !== 0) found.push(`${count} ${what}`);
  };
  for (const vm of world.listLiveVms()) {
    const { runtime, id, sinks } = vm;
    expectNone(runtime.inFlight, `requests in flight at ${id}`);
    expectNone(runtime.claims.unsettledCount, `settlements at ${id}`);
    expectNone(sinks.size, `callers at ${id}`);
    for (const owner of runtime.owners.listOwners()) {
      expectNone(owner.leaseCount, `leases of ${owner.shard} at ${id}`);
      expectNone(owner.waitingCount, `waiters of ${owner.shard} at ${id}`);
      const { room, slots } = owner.buildSummary();
      expectNone(slots - room, `slots of ${owner.shard} not free at ${id}`);
    }
  }
  for (const [id, core] of world.upstreams.engines) {
    expectNone(core.running + core.waiting, `runs at ${id}`);
  }
  return found.map((detail) => ({ invariant: "leak" as const, detail }));
}

/** Formats a submission's name for reports. */
export function formatName({ request, vm, sink }: Submission): string {
  const id = readRequestId(sink) ?? request.issuedId ?? "";
  return `${request.className} ${request.tag} at ${vm.id} ${id}`;
}
