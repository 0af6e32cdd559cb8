import { cpSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, expect, test } from "vitest";
import { runCommand } from "./recording_terminal.ts";

const RECORDS = "examples/kontrola_sever";
const CLASSES_FILE = "groups/classes/1.json";

const SETTINGS = {
  vm: "entry-1",
  data_centre: "dc-1",
  address: "127.0.0.1",
  listeners: {
    callers: { port: 1 },
    peers: { port: 2, secret: "s" },
    operators: { port: 3, token: { env: "TOKEN" } },
  },
  source: { kind: "directory", path: "records" },
};

function writeSettings(settings: unknown): string {
  const file = join(mkdtempSync(join(tmpdir(), "tool-")), "settings.json");
  writeFileSync(file, JSON.stringify(settings));
  return file;
}

function copyRecords(change: (text: string) => string): string {
  const directory = mkdtempSync(join(tmpdir(), "records-"));
  cpSync(RECORDS, directory, { recursive: true });
  const file = join(directory, CLASSES_FILE);
  const before = readFileSync(file, "utf8");
  const after = change(before);
  expect(after).not.toBe(before);
  writeFileSync(file, after);
  return directory;
}

describe("check", () => {
  test("exits with 0 if settings and records are valid", async () => {
    const run = await runCommand(
      ["check", "--settings", writeSettings(SETTINGS), "--records", RECORDS],
      { variables: { TOKEN: "t" } },
    );
    expect(run.output).toContain("settings of VM entry-1 are valid");
    expect(run.output).toMatch(/6 request classes, 10 workspaces/);
    expect(run.exitCode).toBe(0);
  });

  test("exits with 1 and lists each fault of the settings", async () => {
    const file = writeSettings({ ...SETTINGS, vm: 1, colour: "red" });
    const run = await runCommand(["check", "--settings", file, "--json"]);
    const report = JSON.parse(run.output);
    expect(report.ok).toBe(false);
    expect(report.checked[0].lines.join("\n")).toContain("$.vm: Expected");
    expect(report.checked[0].lines.join("\n")).toContain(
      "$.colour: Unknown setting",
    );
    expect(run.exitCode).toBe(1);
  });

  test("exits with 1 and names the invalid record", async () => {
    const directory = copyRecords((text) =>
      text.replace('"tier": "lane"', '"tier": "nowhere"')
    );
    const run = await runCommand(["check", "--records", directory]);
    expect(run.output).toContain("request_class lane_lookup: $.tier");
    expect(run.exitCode).toBe(1);
  });

  test("exits with 3 if the records cannot be read", async () => {
    const run = await runCommand(["check", "--records", "no-such-directory"]);
    expect(run.error).toContain("no-such-directory");
    expect(run.exitCode).toBe(3);
  });

  test("exits with 2 if no file is given", async () => {
    const run = await runCommand(["check"]);
    expect(run.error).toContain("Use --settings FILE");
    expect(run.exitCode).toBe(2);
  });
});

describe("diff", () => {
  test("exits with 0 if nothing differs", async () => {
    const run = await runCommand(["diff", RECORDS, RECORDS]);
    expect(run).toEqual({
      exitCode: 0,
      output: "No record differs\n",
      error: "",
    });
  });

  test("exits with 1 and lists the changes and affected workspaces", async () => {
    const after = copyRecords((text) =>
      text.replace('"total_ms": 1000', '"total_ms": 900')
    );
    const run = await runCommand(["diff", RECORDS, after, "--json"]);
    const [change, ...others] = JSON.parse(run.output).changes;
    expect(others).toEqual([]);
    expect(change).toMatchObject({
      kind: "request_class",
      name: "lane_lookup",
      fields: [{ path: "$.targets.totalMs", before: 1_000, after: 900 }],
    });
    expect(change.workspaces).toContain("stations-north");
    expect(run.exitCode).toBe(1);
  });

  test("exits with 3 if one side is invalid", async () => {
    const after = copyRecords((text) =>
      text.replace('"tier": "lane"', '"tier": "nowhere"')
    );
    const run = await runCommand(["diff", RECORDS, after]);
    expect(run.error).toContain("no VM would accept");
    expect(run.exitCode).toBe(3);
  });
});

describe("the command line", () => {
  test("lists the commands", async () => {
    const run = await runCommand(["--help"]);
    for (
      const command of [
        "check",
        "diff",
        "status",
        "entries",
        "fate",
        "drain",
        "versions",
        "burn",
        "load",
        "completion",
      ]
    ) expect(run.output).toContain(`persimmonslip ${command}`);
    expect(run.exitCode).toBe(0);
  });

  test("prints the version of the package", async () => {
    const { version } = JSON.parse(readFileSync("package.json", "utf8"));
    const run = await runCommand(["--version"]);
    expect(run.output).toBe(`${version}\n`);
  });

  test("suggests a command for a mistyped one", async () => {
    const run = await runCommand(["stauts"]);
    expect(run.error).toContain("Did you mean status?");
    expect(run.exitCode).toBe(2);
  });

  test("refuses an unknown option", async () => {
    const run = await runCommand(["check", "--setings", "x"]);
    expect(run.error).toContain("setings");
    expect(run.exitCode).toBe(2);
  });

  test("prints a stack trace only with --debug", async () => {
    const args = ["diff", "no-such-directory", RECORDS];
    expect((await runCommand(args)).error).not.toMatch(/\n +at /);
    expect((await runCommand([...args, "--debug"])).error).toMatch(/\n +at /);
  });
});
