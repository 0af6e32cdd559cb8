/**
 * Endpoints: IP addresses with ports.
 *
 * @module
 */

/** An endpoint as text, `ADDRESS:PORT`. */
export type Endpoint = string;

/** An endpoint, split into address and port. */
export interface SocketAddress {
  address: string;
  port: number;
}

/** Formats an endpoint as `ADDRESS:PORT`. */
export function formatEndpoint({ address, port }: SocketAddress): Endpoint {
  return `${address}:${port}`;
}

/** Parses `ADDRESS:PORT`; does not validate its parts. */
export function parseEndpoint(endpoint: Endpoint): SocketAddress {
  const colon = endpoint.lastIndexOf(":");
  return {
    address: endpoint.slice(0, colon),
    port: Number(endpoint.slice(colon + 1)),
  };
}
