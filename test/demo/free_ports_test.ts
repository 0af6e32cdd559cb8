import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { readFileSync } from "node:fs";
import { createInterface } from "node:readline";
import { expect, it, onTestFinished } from "vitest";
import { findFreePorts } from "../../demo/free_ports.ts";

const PROCESSES = 4;
/** More than one block, so that the blocks of processes meet. */
const PORTS = 100;
const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";
const CHILD_PROGRAM = `
  const { findFreePorts } = await import("./demo/free_ports.ts");
  console.log(JSON.stringify(await findFreePorts(${PORTS})));
  setInterval(() => {}, 1_000);
`;

function startChild(): ChildProcess {
  const args = ["--import", "tsx", "--input-type=module", "-e", CHILD_PROGRAM];
  const child = spawn(process.execPath, args, {
    stdio: ["ignore", "pipe", "inherit"],
  });
  onTestFinished(() => void child.kill("SIGKILL"));
  return child;
}

async function readPorts(child: ChildProcess): Promise<number[]> {
  const [line] = await once(createInterface(child.stdout!), "line");
  return JSON.parse(String(line)) as number[];
}

// Guards against a process that cannot listen, because a connection that was
// opened after its port had been found free got the same port.
it("finds no port that the system gives to connections", async () => {
  const [first] = readFileSync(RANGE_FILE, "utf8").split(/\s+/).map(Number);
  const ports = await findFreePorts(PORTS);
  expect(Math.max(...ports)).toBeLessThan(first!);
});

// Guards against test files that run at the same time and find one port twice.
it("finds each port once in all processes that run", async () => {
  const children = Array.from({ length: PROCESSES }, startChild);
  const found = await Promise.all([
    ...children.map(readPorts),
    findFreePorts(PORTS),
    findFreePorts(PORTS),
  ]);
  const ports = found.flat();
  expect(new Set(ports).size).toBe(PORTS * (PROCESSES + 2));
});
