/**
 * Keys and certificates of listeners and clients, as texts in PEM.
 *
 * @module
 */

/** What a listener shows to those who connect. */
export interface ServerTls {
  key: string;
  cert: string;
}

/** What a client trusts when it connects. */
export interface ClientTls {
  /** The authorities that may vouch for the other side. */
  ca: string;
  /** The name to check instead of the IP address that was dialled. */
  serverName?: string;
}
