/**
 * Runs one or more stand-ins of one kind in a process:
 * `node dist/standin/main.js engine --port 7001 --port 7002`. Prints one line
 * of JSON, `{"ports": [...]}`, once all listen; ends on SIGTERM.
 *
 * @module
 */
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { EngineServer } from "./engine_server.ts";
import type { EngineOptions } from "./engine_options.ts";
import type { HttpStandIn } from "./http_stand_in.ts";
import { PlatformServer } from "./platform_server.ts";
import { ServiceServer } from "./service_server.ts";

const KINDS = ["engine", "service", "platform"] as const;
type Kind = typeof KINDS[number];

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .command("$0 <kind>", "Run stand-ins of one kind")
    .positional("kind", { choices: KINDS, demandOption: true })
    .option("port", {
      type: "number",
      array: true,
      default: [0],
      describe: "Port of each stand-in; 0 for a free port",
    })
    .option("options", {
      type: "string",
      default: "{}",
      describe: "Engine options as JSON",
    })
    .strict()
    .parseAsync();
  const options = JSON.parse(args.options) as Partial<EngineOptions>;
  const standIns = args.port.map((_port, index) =>
    createStandIn(args.kind as Kind, { ...options, seed: index + 1 })
  );
  const ports = [];
  for (const [index, standIn] of standIns.entries()) {
    ports.push(await standIn.start(args.port[index]));
  }
  process.once("SIGTERM", () => void stopAll(standIns));
  process.once("SIGINT", () => void stopAll(standIns));
  process.stdout.write(`${JSON.stringify({ ports })}\n`);
}

function createStandIn(
  kind: Kind,
  options: Partial<EngineOptions> & { seed: number },
): HttpStandIn {
  if (kind === "engine") return EngineServer.create(options);
  if (kind === "service") return ServiceServer.create();
  return PlatformServer.create();
}

async function stopAll(standIns: readonly HttpStandIn[]): Promise<void> {
  await Promise.all(standIns.map((standIn) => standIn.stop()));
  process.exit(0);
}

await main();
