/**
 * Compiles the daemon for tests and benchmarks that run it as a process.
 *
 * @module
 */
import { execFile } from "node:child_process";
import { mkdirSync, mkdtempSync, rmSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** A compiled daemon in its own directory. */
export interface DaemonBuild {
  /** Path of the module to start. */
  program: string;
  remove: () => void;
}

/**
 * Compiles the current work tree. The output directory is below the root, so
 * that module resolution finds the dependencies.
 */
export async function buildDaemon(): Promise<DaemonBuild> {
  const parent = join(ROOT, ".tmp");
  mkdirSync(parent, { recursive: true });
  const directory = mkdtempSync(join(parent, "daemon-"));
  await promisify(execFile)(process.execPath, [
    join(ROOT, "node_modules/typescript/bin/tsc"),
    "--project",
    join(ROOT, "tsconfig.build.json"),
    "--outDir",
    directory,
    "--noCheck",
  ]);
  return {
    program: join(directory, "src/bin/persimmonslipd.js"),
    remove: () => rmSync(directory, { recursive: true, force: true }),
  };
}
