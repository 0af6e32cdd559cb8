/**
 * Evaluates vitest's report: fails on any failed test that KNOWN-RED.txt does
 * not list, prints the listed ones, and ends with the line
 * `N passed, N failed`.
 *
 * Each line of KNOWN-RED.txt is `test | cause | issue`, where the test is
 * `FILE > FULL NAME`, as this script prints failed tests, or `case | cause |
 * issue` for what is no test of this run: printed, and not judged.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { relative } from "node:path";
import process from "node:process";

const KNOWN_RED_FILE = "KNOWN-RED.txt";
const MAX_KNOWN_RED = 3;
const FIELDS = 3;
/** Vitest prints this for an error outside of any test. */
const UNHANDLED_MARK = "Unhandled Error";

const [reportFile, logFile, vitestStatus] = process.argv.slice(2);

function printLine(text) {
  process.stdout.write(`${text}\n`);
}

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) return [];
  const lines = readFileSync(KNOWN_RED_FILE, "utf8").split("\n");
  return lines.filter((line) => line.trim() !== "").map((line) => {
    const fields = line.split("|").map((part) => part.trim());
    const [test, cause, issue] = fields;
    const isTest = test.includes(" > ");
    return { test, cause, issue, isTest, hasMore: fields.length > FIELDS };
  });
}

/** Lists what is wrong with the entries themselves. */
function listEntryProblems(known) {
  const problems = [];
  if (known.filter(({ isTest }) => isTest).length > MAX_KNOWN_RED) {
    problems.push(`${KNOWN_RED_FILE} lists more than ${MAX_KNOWN_RED} tests`);
  }
  for (const { test, cause, issue, hasMore } of known) {
    if (!cause || !issue) {
      problems.push(`${KNOWN_RED_FILE}: no cause or issue given for ${test}`);
    }
    if (hasMore) {
      problems.push(`${KNOWN_RED_FILE}: more than one entry in ${test}`);
    }
  }
  return problems;
}

/**
 * Lists the files that failed to load: they failed, but have no failed test.
 */
function listFileFailures(results) {
  return results
    .filter((file) => file.status === "failed")
    .filter((file) =>
      !file.assertionResults.some((test) => test.status === "failed")
    )
    .map((file) => `${relative(process.cwd(), file.name)} > (whole file)`);
}

function listTests(results, status) {
  return results.flatMap((file) =>
    file.assertionResults
      .filter((test) => test.status === status)
      .map((test) => `${relative(process.cwd(), file.name)} > ${test.fullName}`)
  );
}

function run() {
  if (!existsSync(reportFile)) {
    printLine("vitest wrote no report");
    printLine("0 passed, 1 failed");
    return 1;
  }
  const results = JSON.parse(readFileSync(reportFile, "utf8")).testResults;
  const passed = listTests(results, "passed");
  const failed = [
    ...listTests(results, "failed"),
    ...listFileFailures(results),
  ];
  const skipped = [
    ...listTests(results, "skipped"),
    ...listTests(results, "pending"),
    ...listTests(results, "todo"),
  ];
  const known = readKnownRed();
  const problems = listEntryProblems(known);

  for (const { test, cause, issue, isTest } of known) {
    if (!isTest) {
      printLine(`known red, not judged: ${test} | ${cause} | ${issue}`);
      continue;
    }
    if (failed.includes(test)) {
      printLine(`known red, passed over: ${test} | ${cause} | ${issue}`);
    } else if (passed.includes(test)) {
      printLine(`known red, but passed this time: ${test}`);
    } else {
      problems.push(`${KNOWN_RED_FILE} names a test that did not run: ${test}`);
    }
  }
  for (const test of failed) {
    if (!known.some((entry) => entry.test === test)) {
      problems.push(`failed: ${test}`);
    }
  }
  for (const test of skipped) printLine(`not run: ${test}`);
  if (passed.length === 0) problems.push("no test passed");
  // A non-zero status is explained by failed tests. Without any, or with an
  // error outside of any test, something else failed and must be reported.
  const isUnhandled = readFileSync(logFile, "utf8").includes(UNHANDLED_MARK);
  if (vitestStatus !== "0" && (failed.length === 0 || isUnhandled)) {
    problems.push(`vitest ended with status ${vitestStatus}`);
  }

  for (const problem of problems) printLine(problem);
  printLine(`${passed.length} passed, ${failed.length} failed`);
  return problems.length === 0 ? 0 : 1;
}

process.exitCode = run();
