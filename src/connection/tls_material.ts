/**
 * PEM-encoded keys and certificates of listeners and clients.
 *
 * @module
 */

/** The key and the certificate of a listener. */
export interface ServerTls {
  key: string;
  cert: string;
}

/** The certificate authorities that a client trusts. */
export interface ClientTls {
  /** Certificates of the trusted authorities. */
  ca: string;
  /** The name to verify instead of the server's IP address. */
  serverName?: string;
}
