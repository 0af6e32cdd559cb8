/**
 * The version of the package that this code belongs to.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";

const FILE = "package.json";

/** The version in the nearest package.json above this file. */
export function readPackageVersion(): string {
  // Compiled code stands one folder deeper than its source, so the file is
  // looked for. Yargs looks beside the program that runs it, which an
  // installed link does not lead to: it said "unknown".
  let folder = new URL(".", import.meta.url);
  while (!existsSync(new URL(FILE, folder))) {
    const parent = new URL("..", folder);
    if (parent.href === folder.href) return "unknown";
    folder = parent;
  }
  const text = readFileSync(new URL(FILE, folder), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
