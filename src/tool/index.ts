/**
 * What lives for one command of the tool.
 *
 * @module
 */
export { runTool } from "./run_tool.ts";
export { ProcessTerminal, Terminal } from "./terminal.ts";
