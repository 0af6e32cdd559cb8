/**
 * What a test tells the module that daemons load first.
 *
 * @module
 */

/** Variable with a file; all datagrams are lost while it exists. */
export const PEER_CUT_VARIABLE = "TEST_PEER_CUT_FILE";
