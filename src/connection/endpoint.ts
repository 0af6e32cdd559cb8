/**
 * Addresses with ports, as settings and VMs write them.
 *
 * @module
 */

/** An IP address and a port, written `ADDRESS:PORT`. */
export type Endpoint = string;

/** Splits `ADDRESS:PORT`. */
export function parseEndpoint(
  endpoint: Endpoint,
): { address: string; port: number } {
  const colon = endpoint.lastIndexOf(":");
  return {
    address: endpoint.slice(0, colon),
    port: Number(endpoint.slice(colon + 1)),
  };
}
