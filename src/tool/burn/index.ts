/**
 * The burn report: how fast error budgets burn, and why.
 *
 * @module
 */
export { convertAnswer, readFoldFiles } from "./burn_files.ts";
export { mergeSamples } from "./burn_fold.ts";
export { buildJson } from "./burn_json.ts";
export { computeReport } from "./burn_report.ts";
export type { BurnSample, ClassObjective } from "./burn_sources.ts";
export { renderText } from "./burn_terminal.ts";
