/**
 * Checks every promise that a run can break, from what callers and upstreams
 * saw and from what is left in the VMs once all is quiet.
 *
 * @module
 */
import { type CallerEnd, readEnd, readRequestId } from "./fuzz_answer.ts";
import type { SendRecord } from "./fuzz_upstreams.ts";
import type { FuzzWorld, Submission } from "./fuzz_world.ts";
import type { QueueFault } from "./queue_witness.ts";

/** A promise that a run can break. */
export type PromiseName =
  | QueueFault["promise"]
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

/** One broken promise. */
export interface BrokenPromise {
  promise: PromiseName;
  detail: string;
}

/** "A few seconds" until an upstream that leaves gets no new work. */
const LEAVING_MS = 5_000;

/** Checks that need no more than the records of the run. */
export function findBrokenPromises(world: FuzzWorld): BrokenPromise[] {
  return [
    ...world.witness.faults,
    ...world.submissions.flatMap((one) => checkSubmission(world, one)),
    ...findDoubled(world),
    ...findSentAfterPause(world),
    ...findReverted(world),
    ...findOutdated(world),
    ...findLeaks(world),
  ];
}

/** Sends of a request, by its tag. */
export function listSends(world: FuzzWorld, tag: number): SendRecord[] {
  return world.upstreams.sends.filter((send) => send.tag === tag);
}

function checkSubmission(
  world: FuzzWorld,
  submission: Submission,
): BrokenPromise[] {
  const end = readEnd(submission);
  const name = formatName(submission);
  const broken: BrokenPromise[] = [];
  if (end.kind === "open") {
    broken.push({ promise: "no_end", detail: `${name} never ended` });
  }
  if (end.kind === "wrong") {
    const detail = `${name}: ${end.detail}`;
    broken.push({ promise: "wrong_answer", detail });
  }
  const lie = findFalseNotRun(world, submission, end);
  if (lie !== undefined) broken.push({ promise: "false_not_run", detail: lie });
  return broken;
}

/**
 * "Not run" is a lie where an upstream began the request before it was said,
 * or begins it later for this very submission.
 */
function findFalseNotRun(
  world: FuzzWorld,
  submission: Submission,
  end: CallerEnd,
): string | undefined {
  if (end.kind !== "refused" || end.outcome !== "not_run") return undefined;
  const { request, life, sink } = submission;
  const saidAt = sink.headAt!;
  const begun = listSends(world, request.tag).filter((send) => send.began);
  const lie = begun.find((send) => {
    if (send.at <= saidAt) return true;
    return !world.submissions.some((other) =>
      other !== submission && other.request === request &&
      other.life.incarnation === send.incarnation &&
      other.submittedAt <= send.at
    );
  });
  if (lie === undefined) return undefined;
  return `${formatName(submission)} was told not_run (${end.code}) by ` +
    `${life.vm} at ${saidAt}, begun by ${lie.upstream} at ${lie.at}`;
}

function findDoubled(world: FuzzWorld): BrokenPromise[] {
  const requests = new Set(world.submissions.map(({ request }) => request));
  return [...requests].flatMap((request) => {
    if (request.isIdempotent) return [];
    const begun = listSends(world, request.tag).filter((send) => send.began);
    if (begun.length <= 1) return [];
    const where = begun.map(({ upstream, at }) => `${upstream} at ${at}`);
    const detail = `${request.className} ${request.tag} ran at ${
      where.join(", ")
    }`;
    return [{ promise: "doubled" as const, detail }];
  });
}

/** A VM that was paused past its leases wakes without one to send under. */
function findSentAfterPause(world: FuzzWorld): BrokenPromise[] {
  return world.upstreams.sends.filter(({ wasLate }) => wasLate)
    .map(({ tag, upstream, at }) => ({
      promise: "sent_after_pause",
      detail: `Request ${tag} was sent to ${upstream} at ${at}`,
    }));
}

function findReverted(world: FuzzWorld): BrokenPromise[] {
  return world.lives.flatMap((life) => {
    const at = life.versions.findIndex((version, index) =>
      index > 0 && version < life.versions[index - 1]!
    );
    if (at < 0) return [];
    const detail = `${life.vm} went ${life.versions.join(", ")}`;
    return [{ promise: "version_reverted" as const, detail }];
  });
}

/** All that live agree on the highest valid version that any could know. */
function findOutdated(world: FuzzWorld): BrokenPromise[] {
  const lives = world.listLives();
  const highest = Math.max(...world.versions.keys());
  const known = lives.map((life) => life.versions.at(-1) ?? 0);
  const isValid = world.versions.get(highest) === true;
  const expected = isValid ? highest : Math.max(0, ...known);
  return lives.flatMap((life, index) => {
    if (known[index] === expected) return [];
    const detail = `${life.vm} has ${known[index]}, not ${expected}`;
    return [{ promise: "version_not_in_force" as const, detail }];
  });
}

/** Sends to upstreams that had left; asked while their leaving is known. */
export function findWorkWhileLeaving(world: FuzzWorld): BrokenPromise[] {
  const calmSince = world.disturbances.getCalmSince([
    "link",
    "loss",
    "paused",
    "killed",
    "service",
    "drain",
  ]);
  return [...world.leavingSince].flatMap(([upstream, since]) => {
    const from = Math.max(since, calmSince) + LEAVING_MS;
    const late = world.upstreams.sends.find((send) =>
      send.upstream === upstream && send.at > from && send.began
    );
    if (late === undefined) return [];
    const detail = `${upstream} left at ${since} and began work at ${late.at}`;
    return [{ promise: "work_while_leaving" as const, detail }];
  });
}

function findLeaks(world: FuzzWorld): BrokenPromise[] {
  const found: string[] = [];
  const expectNone = (count: number, what: string) => {
    if (count !== 0) found.push(`${count} ${what}`);
  };
  for (const life of world.listLives()) {
    const { runtime, vm, sinks } = life;
    expectNone(runtime.inFlight, `requests in flight at ${vm}`);
    expectNone(runtime.claims.unsettledCount, `settlements at ${vm}`);
    expectNone(sinks.size, `callers at ${vm}`);
    for (const owner of runtime.owners.listOwners()) {
      expectNone(owner.leaseCount, `leases of ${owner.shard} at ${vm}`);
      expectNone(owner.waitingCount, `waiters of ${owner.shard} at ${vm}`);
      const { room, slots } = owner.buildSummary();
      expectNone(slots - room, `slots of ${owner.shard} not free at ${vm}`);
    }
  }
  for (const [id, core] of world.upstreams.engines) {
    expectNone(core.running + core.waiting, `runs at ${id}`);
  }
  return found.map((detail) => ({ promise: "leak" as const, detail }));
}

/** What names a submission in a report. */
export function formatName({ request, life, sink }: Submission): string {
  const id = readRequestId(sink) ?? request.takenId ?? "";
  return `${request.className} ${request.tag} at ${life.vm} ${id}`;
}
