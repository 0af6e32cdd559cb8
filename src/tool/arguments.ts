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

/** How the operators' listener of a VM is reached. */
export interface OperatorArguments {
  url?: string | undefined;
  token?: string | undefined;
  ca?: string | undefined;
}

/** How the callers' listener of a VM is reached. */
export interface CallerArguments {
  "callers-url"?: string | undefined;
  ca?: string | undefined;
}

/** A client of the operators' listener. Throws a `ToolError`. */
export function createOperatorClient(
  context: ToolContext,
  given: OperatorArguments,
): VmClient {
  const token = given.token ?? context.variables.PERSIMMONSLIP_TOKEN;
  if (token === undefined || token === "") {
    throw new ToolError("No operator token is given", {
      exitCode: EXIT_USAGE,
      step: "read_arguments",
      hint: "Set PERSIMMONSLIP_TOKEN, or give --token TOKEN",
    });
  }
  const url = given.url ?? context.variables.PERSIMMONSLIP_URL;
  return VmClient.create({
    url: parseUrl(url, "url"),
    token,
    ca: readAuthority(given.ca),
  });
}

/** A client of the callers' listener. Throws a `ToolError`. */
export function createCallerClient(
  context: ToolContext,
  given: CallerArguments,
): VmClient {
  return VmClient.create({
    url: findCallersUrl(context, given),
    ca: readAuthority(given.ca),
  });
}

/** The address of the callers' listener. Throws a `ToolError`. */
export function findCallersUrl(
  context: ToolContext,
  given: CallerArguments,
): URL {
  const { variables } = context;
  const url = given["callers-url"] ?? variables.PERSIMMONSLIP_CALLERS_URL;
  return parseUrl(url, "callers-url");
}

/** The PEM text of an authority's certificate. Throws a `ToolError`. */
export function readAuthority(file: string | undefined): string | undefined {
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
