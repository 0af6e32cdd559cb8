import { spawnSync } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import process from "node:process";
import { expect, test } from "vitest";

const JUDGE = resolve(".ci/judge.js");

interface Run {
  /** Full name and status of each test of the file a_test.ts. */
  tests: [string, "passed" | "failed" | "skipped"][];
  /** Lines of KNOWN-RED.txt. */
  known?: string[];
  /** Whether a file failed to load. */
  hasBrokenFile?: boolean;
  log?: string;
}

function runJudge(run: Run): { status: number | null; lines: string[] } {
  const directory = mkdtempSync(join(tmpdir(), "judge-"));
  const hasFailed = run.tests.some(([, status]) => status === "failed");
  const file = {
    name: join(directory, "a_test.ts"),
    status: hasFailed ? "failed" : "passed",
    assertionResults: run.tests.map(([fullName, status]) => ({
      fullName,
      status,
    })),
  };
  const broken = {
    name: join(directory, "b_test.ts"),
    status: "failed",
    assertionResults: [],
  };
  const testResults = run.hasBrokenFile ? [file, broken] : [file];
  writeFileSync(
    join(directory, "report.json"),
    JSON.stringify({ testResults }),
  );
  writeFileSync(join(directory, "log.txt"), run.log ?? "");
  if (run.known) {
    writeFileSync(join(directory, "KNOWN-RED.txt"), run.known.join("\n"));
  }
  const isRed = hasFailed || run.hasBrokenFile || run.log !== undefined;
  const ended = spawnSync(
    process.execPath,
    [JUDGE, "report.json", "log.txt", isRed ? "1" : "0"],
    { cwd: directory, encoding: "utf8" },
  );
  return { status: ended.status, lines: ended.stdout.trimEnd().split("\n") };
}

test("passes a run in which every test passed", () => {
  const { status, lines } = runJudge({ tests: [["x", "passed"]] });
  expect(lines).toEqual(["1 passed, 0 failed"]);
  expect(status).toBe(0);
});

test("fails on a failed test, and prints its name", () => {
  const { status, lines } = runJudge({
    tests: [["x", "passed"], ["y z", "failed"]],
  });
  expect(lines).toEqual(["failed: a_test.ts > y z", "1 passed, 1 failed"]);
  expect(status).toBe(1);
});

test("tolerates exactly the tests listed as known red, and prints them", () => {
  const known = ["a_test.ts > y z | a lease is lost | 4"];
  const tests: Run["tests"] = [["x", "passed"], ["y z", "failed"]];
  const listed = runJudge({ tests, known });
  expect(listed.lines).toEqual([
    "known red, passed over: a_test.ts > y z | a lease is lost | 4",
    "1 passed, 1 failed",
  ]);
  expect(listed.status).toBe(0);
  const other = runJudge({ tests: [...tests, ["w", "failed"]], known });
  expect(other.lines).toContain("failed: a_test.ts > w");
  expect(other.status).toBe(1);
});

test("fails on more than three known red tests, or one without a cause", () => {
  const names = ["a", "b", "c", "d"];
  const tests = names.map((name): Run["tests"][number] => [name, "failed"]);
  const known = names.map((name) => `a_test.ts > ${name} | cause | 1`);
  const green: Run["tests"] = [["x", "passed"]];
  expect(runJudge({ tests: [...green, ...tests], known }).status).toBe(1);
  expect(
    runJudge({ tests: [...green, ["a", "failed"]], known: ["a_test.ts > a"] })
      .status,
  ).toBe(1);
  expect(
    runJudge({ tests: green, known: ["a_test.ts > gone | cause | 1"] }).status,
  ).toBe(1);
});

test("prints known red cases that are no tests, however many", () => {
  const known = ["a", "b", "c", "d"].map((name) => `case ${name} | cause | 1`);
  const { status, lines } = runJudge({ tests: [["x", "passed"]], known });
  expect(lines).toEqual([
    ...known.map((line) => `known red, not judged: ${line}`),
    "1 passed, 0 failed",
  ]);
  expect(status).toBe(0);
  const unexplained = runJudge({ tests: [["x", "passed"]], known: ["case a"] });
  expect(unexplained.status).toBe(1);
});

// Guards against entries that nobody prints, behind the issue of another one.
test("fails on a second entry in one line", () => {
  const known = ["case a | cause | 1 | case b | cause | 1"];
  const run = runJudge({ tests: [["x", "passed"]], known });
  expect(run.lines).toContain("KNOWN-RED.txt: more than one entry in case a");
  expect(run.status).toBe(1);
});

// Guards against green CI although a whole test file never ran: a file that
// fails to load has no tests, so a count of failed tests misses it.
test("fails where a file does not load", () => {
  const run = runJudge({ tests: [["x", "passed"]], hasBrokenFile: true });
  expect(run.lines).toContain("failed: b_test.ts > (whole file)");
  expect(run.status).toBe(1);
});

// Guards against green CI although code throws outside of any test: vitest's
// exit status is the same for a known red test and for an unhandled error.
test("fails on an unhandled error beside a known red test", () => {
  const run = runJudge({
    tests: [["x", "passed"], ["y", "failed"]],
    known: ["a_test.ts > y | cause | 4"],
    log: "Vitest caught 1 unhandled error\n⎯⎯ Unhandled Errors ⎯⎯",
  });
  expect(run.lines).toContain("vitest ended with status 1");
  expect(run.status).toBe(1);
});

test("fails where no test ran, and lists the skipped ones", () => {
  const run = runJudge({ tests: [["x", "skipped"]] });
  expect(run.lines).toContain("not run: a_test.ts > x");
  expect(run.status).toBe(1);
});
