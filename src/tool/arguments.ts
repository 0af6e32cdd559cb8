/**
 * Options that several commands share.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { toError } from "../errors.ts";
import { parseUrl } from "./http_client.ts";
import type { ToolContext } from "./terminal.ts";
import { EXIT_UNREADABLE, EXIT_USAGE, ToolError } from "./tool_error.ts";
import { VmClient } from "./vm_client.ts";

/** Options for connecting to the operators' listener of a VM. */
export interface OperatorArguments {
  url?: string | undefined;
  token?: string | undefined;
  ca?: string | undefined;
}

/** Options for connecting to the callers' listener of a VM. */
export interface CallerArguments {
  "callers-url"?: string | undefined;
  ca?: string | undefined;
}

/** Creates a client of the operators' listener. Throws a `ToolError`. */
export function createOperatorClient(
  context: ToolContext,
  args: OperatorArguments,
): VmClient {
  const token = args.token ?? context.variables.PERSIMMONSLIP_TOKEN;
  if (token === undefined || token === "") {
    throw new ToolError("Operator token is missing", {
      exitCode: EXIT_USAGE,
      step: "read_arguments",
      hint: "Set PERSIMMONSLIP_TOKEN or use --token TOKEN",
    });
  }
  const url = args.url ?? context.variables.PERSIMMONSLIP_URL;
  return VmClient.create({
    url: parseUrl(url, "url"),
    token,
    ca: readCaCertificate(args.ca),
  });
}

/** Creates a client of the callers' listener. Throws a `ToolError`. */
export function createCallerClient(
  context: ToolContext,
  args: CallerArguments,
): VmClient {
  return VmClient.create({
    url: findCallersUrl(context, args),
    ca: readCaCertificate(args.ca),
  });
}

/** Returns the URL of the callers' listener. Throws a `ToolError`. */
export function findCallersUrl(
  context: ToolContext,
  args: CallerArguments,
): URL {
  const { variables } = context;
  const url = args["callers-url"] ?? variables.PERSIMMONSLIP_CALLERS_URL;
  return parseUrl(url, "callers-url");
}

/** Reads the PEM text of a CA certificate. Throws a `ToolError`. */
export function readCaCertificate(
  file: string | undefined,
): string | undefined {
  if (file === undefined) return undefined;
  try {
    return readFileSync(file, "utf8");
  } catch (thrown) {
    const cause = toError(thrown);
    throw new ToolError(`${file} cannot be read`, {
      exitCode: EXIT_UNREADABLE,
      step: "read_arguments",
      cause,
    });
  }
}
