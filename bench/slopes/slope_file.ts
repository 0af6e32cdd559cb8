/**
 * Format of the saved figures of one run.
 *
 * @module
 */
import type { Slope } from "./slope.ts";

/** Content of the file that `npm run slopes -- --save FILE` writes. */
export interface SlopeFile {
  command: string;
  seed: number;
  commit: string;
  node: string;
  cores: number;
  slopes: Slope[];
  /** Values measured at the target's size, to check the lines. */
  checks: Record<string, number>;
}
