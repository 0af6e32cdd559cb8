/**
 * Version of this package.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";

const FILE = "package.json";

/** Reads the version from the nearest package.json above this file. */
export function readPackageVersion(): string {
  // The file is searched for, since compiled code is one folder deeper than its
  // source. Yargs looks next to the executable, which fails for an installed
  // symbolic link: it reports "unknown".
  let directory = new URL(".", import.meta.url);
  while (!existsSync(new URL(FILE, directory))) {
    const parent = new URL("..", directory);
    if (parent.href === directory.href) return "unknown";
    directory = parent;
  }
  const text = readFileSync(new URL(FILE, directory), "utf8");
  return (JSON.parse(text) as { version: string }).version;
}
