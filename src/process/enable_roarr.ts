/**
 * Switches roarr on. It reads `ROARR_LOG` once, when it is imported, and its
 * logger is a dummy for good where that is unset: the daemon would serve and
 * log nothing. Import this module before roarr.
 *
 * @module
 */
import process from "node:process";

process.env.ROARR_LOG = "true";
