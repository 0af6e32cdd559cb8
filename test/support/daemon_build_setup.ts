/**
 * Compiles the daemon once for all tests that run it as a process.
 *
 * @module
 */
import type { TestProject } from "vitest/node";
import { buildDaemon } from "./daemon_build.ts";

declare module "vitest" {
  export interface ProvidedContext {
    daemonProgram: string;
  }
}

/** Vitest's global setup; the returned function is the teardown. */
// Vitest requires this name.
// deno-lint-ignore persimmonslip/verb-first
export async function setup(project: TestProject): Promise<() => void> {
  const build = await buildDaemon();
  project.provide("daemonProgram", build.program);
  return build.remove;
}
