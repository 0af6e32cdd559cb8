/**
 * The operator's command-line tool. Objects of this folder live as long as one
 * command.
 *
 * @module
 */
export { runTool } from "./run_tool.ts";
export { ProcessTerminal, Terminal } from "./terminal.ts";
