/**
 * What a soak tells the module that daemons load first.
 *
 * @module
 */

/** Variable with the file that says how the links are cut; empty for whole. */
export const LINKS_FILE_VARIABLE = "SOAK_LINKS_FILE";
/** Variable with the port of the store, which is not cut. */
export const STORE_PORT_VARIABLE = "SOAK_STORE_PORT";
/** Replicas and the store have this address, VMs have others. */
export const REPLICA_HOST = "127.0.0.1";
