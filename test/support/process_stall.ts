/**
 * Stalls of the process that runs the tests.
 *
 * @module
 */

/** Runs no timer and reads no socket of this process for `ms`. */
export function runStall(ms: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
