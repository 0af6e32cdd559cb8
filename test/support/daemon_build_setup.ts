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

/** Vitest runs this before the tests; what it gives runs after them. */
// Vitest sets the name.
// deno-lint-ignore persimmonslip/verb-first
export async function setup(project: TestProject): Promise<() => void> {
  const build = await buildDaemon();
  project.provide("daemonProgram", build.program);
  return build.remove;
}
