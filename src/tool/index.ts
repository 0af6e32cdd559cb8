/**
 * What lives for one command of the tool.
 *
 * @module
 */
export { runTool } from "./run_tool.ts";
export { ProcessTerminal, Terminal } from "./terminal.ts";
export type { ToolContext } from "./terminal.ts";
export type {
  BurnAnswer,
  EntriesPage,
  FatePage,
  StatusAnswer,
  VersionsAnswer,
} from "./operator_answers.ts";
