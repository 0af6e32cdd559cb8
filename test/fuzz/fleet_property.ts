/**
 * The property that every run keeps every promise, for tests and long runs.
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

/** What a check ran. */
export interface FleetReport {
  isBroken: boolean;
  runs: number;
  /** The failing seed, the shrunk commands and the broken promises. */
  text: string;
  /** How often the runs met what the oracle checks. */
  met: Record<string, number>;
}

/** Runs `runs` sequences; a failing one is shrunk. */
export async function checkFleet(
  options: {
    seed: number;
    runs: number;
    profile: Profile;
    path?: string;
    /** How long a failing run may be shrunk, in milliseconds. */
    shrinkMs: number;
  },
): Promise<FleetReport> {
  const met: Record<string, number> = {};
  const property = fc.asyncProperty(
    fc.record({
      user: fc.constantFrom(...USERS),
      vms: fc.integer({ min: 3, max: 5 }),
      seed: fc.nat({ max: 0xffff }),
    }),
    buildCommands(options.profile),
    async (start, commands) => {
      const world = await runFuzz(start, commands as Iterable<FuzzCommand>);
      noteMet(met, world);
    },
  );
  const first = await fc.check(property, {
    seed: options.seed,
    numRuns: options.runs,
    path: options.path,
    // Shrinking takes hundreds of runs: it has a time of its own.
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
      : "No broken promise",
    met,
  };
}

function noteMet(met: Record<string, number>, world: FuzzWorld): void {
  const add = (name: string, count: number) => {
    met[name] = (met[name] ?? 0) + count;
  };
  for (const submission of world.submissions) {
    const end = readEnd(submission);
    add(end.kind === "refused" ? `refused ${end.code}` : end.kind, 1);
  }
  for (const [name, count] of Object.entries(world.witness.counts)) {
    add(name, count);
  }
  add("sends", world.upstreams.sends.length);
  add("virtual seconds", Math.round(world.clock.now() / 1_000));
}
