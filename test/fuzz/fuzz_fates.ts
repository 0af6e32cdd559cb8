/**
 * Compares the fates that VMs tell with what callers and upstreams saw.
 *
 * @module
 */
import { readEnd, readRequestId } from "./fuzz_answer.ts";
import { type BrokenPromise, formatName, listSends } from "./fuzz_oracle.ts";
import type { FuzzSink } from "./fuzz_sink.ts";
import type { FuzzWorld, Submission } from "./fuzz_world.ts";

/** Longer than a call to a peer may take. */
const ANSWER_MS = 4_000;

interface FatePage {
  outcome: string;
  vm?: string;
  code?: string;
  config_version?: number;
  dropped_steps?: number;
  steps: { step: string; peer?: string }[];
}

/** Asks for the fate of every request whose id a caller knows. */
export async function findFalseFates(
  world: FuzzWorld,
): Promise<BrokenPromise[]> {
  const byId = new Map<string, Submission>();
  for (const submission of world.submissions) {
    const id = readRequestId(submission.sink) ?? submission.request.takenId;
    if (id !== undefined && !byId.has(id)) byId.set(id, submission);
  }
  const asked = [...byId].map(([id, submission]) => ({
    id,
    submission,
    answer: sendQuestion(world, submission, id),
  }));
  await world.run(ANSWER_MS);
  return asked.flatMap(({ id, submission, answer }) => [
    ...checkFate(world, submission, answer),
    ...checkVersionKept(submission, id),
  ]);
}

/** Asks a VM for a fate. */
function sendQuestion(
  world: FuzzWorld,
  { request }: Submission,
  id: string,
): FuzzSink | undefined {
  const life = world.random.pick(world.listLives());
  return life && world.ask(life, {
    method: "GET",
    path: `/v1/requests/${encodeURIComponent(id)}`,
    workspace: request.workspace,
  });
}

function checkFate(
  world: FuzzWorld,
  submission: Submission,
  sink: FuzzSink | undefined,
): BrokenPromise[] {
  const name = formatName(submission);
  if (sink === undefined) return [];
  if (sink.state !== "ended") {
    return [{ promise: "false_fate", detail: `${name}: no VM tells its fate` }];
  }
  const answer = JSON.parse(sink.text);
  if (answer.error !== undefined) return [];
  const fate = answer as FatePage;
  return checkAgainstSends(world, submission, fate)
    .concat(checkAgainstCallers(world, submission, fate))
    .map((detail) => ({
      promise: "false_fate",
      detail: `${name} is told as ${fate.outcome}: ${detail}`,
    }));
}

function checkAgainstSends(
  world: FuzzWorld,
  { request }: Submission,
  fate: FatePage,
): string[] {
  const found: string[] = [];
  const sends = listSends(world, request.tag);
  const begun = sends.filter((send) => send.began).length;
  if (fate.outcome === "running") found.push("nothing runs any more");
  if (fate.outcome === "not_run" && begun > 0) {
    found.push(`it was begun ${begun} times`);
  }
  const isSaidToHaveRun = fate.outcome === "ran" || fate.outcome === "answered";
  if (isSaidToHaveRun && begun === 0) found.push("no upstream began it");
  if (fate.vm === undefined || (fate.dropped_steps ?? 0) > 0) return found;
  const runner = world.lives
    .filter((life) => life.vm === fate.vm).map((life) => life.incarnation);
  const told = fate.steps.filter(({ step }) => step === "sent").length;
  const own = sends.filter((send) =>
    runner.some((incarnation) => incarnation === send.incarnation)
  );
  if (own.length > told) {
    found.push(`${own.length} sends and ${told} steps that say so`);
  }
  return found;
}

function checkAgainstCallers(
  world: FuzzWorld,
  { request }: Submission,
  fate: FatePage,
): string[] {
  const own = world.submissions.filter((one) => one.request === request);
  const ends = own.map(readEnd);
  const wasWhole = ends.some(({ kind }) => kind === "whole");
  const found: string[] = [];
  if (wasWhole && !["answered", "unknown"].includes(fate.outcome)) {
    found.push("a caller had the whole answer");
  }
  const [only] = ends;
  if (own.length !== 1 || only?.kind !== "refused") return found;
  const isSame = only.outcome === fate.outcome || fate.outcome === "unknown";
  if (!isSame) found.push(`its caller was told ${only.outcome}`);
  return found;
}

/** The fate's version must be the one in force when the run was admitted. */
function checkVersionKept(
  { life, version, request }: Submission,
  id: string,
): BrokenPromise[] {
  if (request.takenId !== undefined || life.isDead) return [];
  const fate = life.runtime.requestStatuses.find(id as never);
  if (fate === undefined || fate.configVersion === version) return [];
  const detail = `${id} was admitted under ${version} and is told to have ` +
    `kept ${fate.configVersion}`;
  return [{ promise: "version_not_kept", detail }];
}
