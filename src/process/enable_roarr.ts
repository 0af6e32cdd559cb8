/**
 * Enables roarr. It reads `ROARR_LOG` once, on import, and logs nothing if that
 * is not set. Import this module before roarr.
 *
 * @module
 */
import process from "node:process";

process.env.ROARR_LOG = "true";
