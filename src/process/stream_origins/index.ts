/**
 * Software versions at which streams began.
 *
 * @module
 */
export { StreamOrigins } from "./stream_origins.ts";
