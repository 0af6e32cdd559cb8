/**
 * The property that no run violates an invariant, for tests and long runs.
 *
 * @module
 */
import fc from "fast-check";
import { USERS } from "../../bench/support/example_records.ts";
import { readEnd } from "./fuzz_answer.ts";
import {
  buildCommands,
  type FuzzCommand,
  type Profile,
  PROFILES,
} from "./fuzz_commands.ts";
import { runFuzz } from "./fuzz_run.ts";
import type { FuzzWorld } from "./fuzz_world.ts";

export { PROFILES };

/** The result of a check. */
export interface FleetReport {
  isBroken: boolean;
  runs: number;
  /** The failing seed, the shrunk commands and the violated invariants. */
  text: string;
  /** How often the runs covered each case that the oracle checks. */
  covered: Record<string, number>;
}

/** Runs `runs` command sequences and shrinks a failing one. */
export async function checkFleet(
  options: {
    seed: number;
    runs: number;
    profile: Profile;
    path?: string;
    /** Time limit for shrinking a failing run, in milliseconds. */
    shrinkMs: number;
  },
): Promise<FleetReport> {
  const covered: Record<string, number> = {};
  const property = fc.asyncProperty(
    fc.record({
      user: fc.constantFrom(...USERS),
      vms: fc.integer({ min: 3, max: 5 }),
      seed: fc.nat({ max: 0xffff }),
    }),
    buildCommands(options.profile),
    async (start, commands) => {
      const world = await runFuzz(start, commands as Iterable<FuzzCommand>);
      noteCovered(covered, world);
    },
  );
  const first = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    path: options.path,
    // Shrinking takes hundreds of runs, so it has its own time limit below.
    endOnFailure: true,
  });
  const details = first.failed
    ? await fc.check(property, {
      seed: options.seed,
      path: first.counterexamplePath ?? "",
      interruptAfterTimeLimit: options.shrinkMs,
    })
    : first;
  return {
    isBroken: first.failed,
    runs: first.numRuns,
    text: first.failed
      ? `${details.errorInstance}\n${fc.defaultReportMessage(details)}`
      : "No violated invariant",
    covered,
  };
}

function noteCovered(covered: Record<string, number>, world: FuzzWorld): void {
  const add = (name: string, count: number) => {
    covered[name] = (covered[name] ?? 0) + count;
  };
  for (const submission of world.submissions) {
    const end = readEnd(submission);
    add(end.kind === "refused" ? `refused ${end.code}` : end.kind, 1);
  }
  for (const [name, count] of Object.entries(world.queueObserver.counts)) {
    add(name, count);
  }
  add("sends", world.upstreams.sends.length);
  add("virtual seconds", Math.round(world.clock.now() / 1_000));
}
