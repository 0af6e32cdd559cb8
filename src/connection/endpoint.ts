/**
 * Addresses with ports, as settings and VMs write them.
 *
 * @module
 */

/** An IP address and a port, written `ADDRESS:PORT`. */
export type Endpoint = string;

/** The same in two parts. */
export interface SocketAddress {
  address: string;
  port: number;
}

/** Writes `ADDRESS:PORT`. */
export function formatEndpoint({ address, port }: SocketAddress): Endpoint {
  return `${address}:${port}`;
}

/** Splits `ADDRESS:PORT`. */
export function parseEndpoint(endpoint: Endpoint): SocketAddress {
  const colon = endpoint.lastIndexOf(":");
  return {
    address: endpoint.slice(0, colon),
    port: Number(endpoint.slice(colon + 1)),
  };
}
