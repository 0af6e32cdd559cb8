/**
 * Runs the demo of one user: starts the fleet, sends the load, prints the
 * results and stops the fleet.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Callers, type RequestResult } from "./callers.ts";
import { listTotalTargets, readExample } from "./example_records.ts";
import { DemoFleet } from "./fleet.ts";
import { renderOutcomes, renderRefusals } from "./outcome_table.ts";
import { checkGuarantees } from "./guarantees.ts";
import { buildWorkload } from "./workload.ts";

/** Options of a user's demo. */
export interface UserDemoOptions {
  user: string;
  seconds: number;
  /** Whether an entry VM is killed halfway. */
  kill: boolean;
  root: string;
  /** Directory of settings and logs. */
  directory: string;
  print: (text: string) => void;
}

/** Runs the demo; returns the faults found, none in a good run. */
export async function runUserDemo(options: UserDemoOptions): Promise<string[]> {
  const { print } = options;
  const example = readExample(options.root, options.user);
  const fleet = DemoFleet.create(example, options);
  const faults: string[] = [];
  try {
    const startedAt = performance.now();
    await fleet.start();
    const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
    print(
      `${options.user}: ${fleet.entryVms.length} entry VMs, ` +
        `${fleet.enginePorts.length} model engines and ` +
        `${fleet.servicePorts.length} service replicas ready in ${seconds} s`,
    );
    const callers = await runLoad(fleet, options);
    faults.push(...listUnaccounted(callers.results));
    print(renderOutcomes(callers.results, listTotalTargets(example)));
    print(`refused: ${renderRefusals(callers.results) || "none"}`);
    const report = await checkGuarantees(fleet, callers.results);
    faults.push(...report.violations);
    print(
      `tokens generated ${report.generatedTokens}, ` +
        `needed for complete answers ${report.neededTokens}; ` +
        `failed connections ${callers.failedConnects}; ` +
        `guarantees violated ${report.violations.length}`,
    );
  } catch (thrown) {
    faults.push(thrown instanceof Error ? thrown.message : String(thrown));
  }
  faults.push(...await fleet.stop());
  print(`${options.user}: everything has been stopped`);
  return faults;
}

async function runLoad(
  fleet: DemoFleet,
  options: UserDemoOptions,
): Promise<Callers> {
  const workload = buildWorkload(
    readExample(options.root, options.user),
    options.seconds,
  );
  const callers = Callers.create();
  const count = await callers.fetchEntries(fleet.entryVms[0]!.port);
  options.print(
    `callers use ${count} addresses; ${workload.length} requests in ` +
      `${options.seconds} s`,
  );
  const load = callers.run(workload);
  if (options.kill) {
    await sleep(options.seconds * 500);
    const vm = fleet.entryVms.at(-1)!;
    options.print(`killing ${vm.id}`);
    callers.noteKilled(vm.port);
    await fleet.destroy(vm);
  }
  await load;
  return callers;
}

function listUnaccounted(results: readonly RequestResult[]): string[] {
  return results.flatMap(({ request, requestId, outcome }) =>
    outcome.kind === "unaccounted"
      ? [`${request.className} ${requestId ?? "without id"}: ${outcome.why}`]
      : []
  );
}
