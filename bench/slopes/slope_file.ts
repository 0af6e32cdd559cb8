/**
 * The saved figures of one run.
 *
 * @module
 */
import type { Slope } from "./slope.ts";

/** What `npm run slopes -- --save FILE` writes. */
export interface SlopeFile {
  command: string;
  seed: number;
  commit: string;
  node: string;
  cores: number;
  slopes: Slope[];
  /** Measured at the target's size, beside the lines. */
  checks: Record<string, number>;
}
