/**
 * Starts, watches and ends a group of child processes by their process ids.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import { closeSync, openSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const READ_LINE_TIMEOUT_MS = 15_000;
const LOG_TAIL_LINES = 15;

/** One child process and its log file. */
export interface Child {
  name: string;
  pid: number;
  process: ChildProcess;
  logFile: string;
  /** Resolves once the process has exited. */
  exited: Promise<void>;
}

/** Options of a child process. */
export interface ChildOptions {
  name: string;
  /** Arguments of Node: a module and its own arguments. */
  args: string[];
  /** Variables added to this process's environment. */
  environment?: Record<string, string>;
  /** Largest number of open descriptors; as this process's by default. */
  maxDescriptors?: number;
}

/** The child processes that were started together. */
export class ChildProcessGroup {
  readonly #directory: string;
  readonly #children: Child[] = [];

  constructor(directory: string) {
    this.#directory = directory;
    // Without this, a process that ends by an error would leave its children
    // running and their ports in use.
    process.once("exit", () => this.#destroyAll());
  }

  /** Writes the children's logs to files in `directory`. */
  static create(directory: string): ChildProcessGroup {
    return new ChildProcessGroup(directory);
  }

  /** Starts a child and redirects all of its output to its log file. */
  start(options: ChildOptions): Child {
    const logFile = join(this.#directory, `${options.name}.log`);
    const log = openSync(logFile, "a");
    const [command, args] = buildCommand(options);
    const child = spawn(command, args, {
      stdio: ["ignore", log, log],
      env: { ...process.env, ...options.environment },
    });
    closeSync(log);
    return this.#add(child, { name: options.name, logFile });
  }

  /** Starts a child and returns the first line that it prints. */
  async startAndReadLine(options: ChildOptions): Promise<string> {
    const logFile = join(this.#directory, `${options.name}.log`);
    const log = openSync(logFile, "a");
    const child = spawn(process.execPath, options.args, {
      stdio: ["ignore", "pipe", log],
    });
    closeSync(log);
    this.#add(child, { name: options.name, logFile });
    const line = await readFirstLine(child);
    if (line !== undefined) return line;
    throw new Error(
      `${options.name} did not start:\n${readLogTail(logFile)}`,
    );
  }

  /** Kills one child with SIGKILL. */
  async destroy(child: Child): Promise<void> {
    child.process.kill("SIGKILL");
    await child.exited;
  }

  /**
   * Ends `children` with SIGTERM; returns the names of those that had to be
   * killed after `timeoutMs`.
   */
  async stop(
    children: readonly Child[],
    timeoutMs: number,
  ): Promise<string[]> {
    const killed: string[] = [];
    const alive = children.filter((child) => isAlive(child));
    for (const child of alive) child.process.kill("SIGTERM");
    await Promise.all(alive.map(async (child) => {
      if (await waitForExit(child, timeoutMs)) return;
      killed.push(child.name);
      await this.destroy(child);
    }));
    return killed;
  }

  /** Lists the children whose process still exists. */
  listAlive(): Child[] {
    return this.#children.filter((child) => isAlive(child));
  }

  #add(
    child: ChildProcess,
    options: { name: string; logFile: string },
  ): Child {
    if (child.pid === undefined) {
      throw new Error(`Could not spawn process ${options.name}`);
    }
    const exited = new Promise<void>((resolve) => {
      child.once("exit", () => resolve());
    });
    const added = { ...options, pid: child.pid, process: child, exited };
    this.#children.push(added);
    return added;
  }

  #destroyAll(): void {
    for (const child of this.listAlive()) child.process.kill("SIGKILL");
  }
}

/** Returns the last lines of a log file. */
export function readLogTail(logFile: string): string {
  return readFileSync(logFile, "utf8").trimEnd().split("\n")
    .slice(-LOG_TAIL_LINES).join("\n");
}

/** Whether a child has exited or was killed by a signal. */
export function hasEnded(child: Child): boolean {
  const { exitCode, signalCode } = child.process;
  return exitCode !== null || signalCode !== null;
}

function isAlive(child: Child): boolean {
  if (hasEnded(child)) return false;
  try {
    process.kill(child.pid, 0);
    return true;
  } catch {
    return false;
  }
}

async function waitForExit(child: Child, ms: number): Promise<boolean> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<boolean>((resolve) => {
    timer = setTimeout(() => resolve(false), ms);
  });
  const exited = child.exited.then(() => true);
  const result = await Promise.race([exited, timeout]);
  clearTimeout(timer);
  return result;
}

/** A shell sets the limit and then becomes the child. */
function buildCommand(
  { args, maxDescriptors }: ChildOptions,
): [command: string, args: string[]] {
  if (maxDescriptors === undefined) return [process.execPath, args];
  const script = `ulimit -n ${maxDescriptors} && exec "$@"`;
  return ["/bin/sh", ["-c", script, "sh", process.execPath, ...args]];
}

function readFirstLine(child: ChildProcess): Promise<string | undefined> {
  return new Promise((resolve) => {
    let text = "";
    const timer = setTimeout(() => resolve(undefined), READ_LINE_TIMEOUT_MS);
    child.once("exit", () => {
      clearTimeout(timer);
      resolve(undefined);
    });
    child.stdout?.on("data", (part: Buffer) => {
      text += part.toString("utf8");
      const end = text.indexOf("\n");
      if (end < 0) return;
      clearTimeout(timer);
      resolve(text.slice(0, end));
    });
  });
}
