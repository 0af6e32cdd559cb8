/**
 * Datagrams that the kernel dropped because a socket's receive buffer was full.
 *
 * Only the kernel knows of them: the sender's call succeeded, and the receiver
 * never sees them.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { type Endpoint, parseEndpoint } from "../../connection/endpoint.ts";

/** Linux lists the UDP sockets of IPv4 here, one a line. */
const SOCKETS_FILE = "/proc/net/udp";
const LOCAL_ADDRESS_COLUMN = 1;

/**
 * Drops at the socket bound to `local` since it was opened; undefined where the
 * kernel does not tell.
 */
export async function readReceiveDrops(
  local: Endpoint,
): Promise<number | undefined> {
  try {
    return parseReceiveDrops(await readFile(SOCKETS_FILE, "utf8"), local);
  } catch {
    return undefined;
  }
}

/** The last column of the line of `local`; undefined if there is none. */
export function parseReceiveDrops(
  text: string,
  local: Endpoint,
): number | undefined {
  const address = formatKernelAddress(local);
  const columns = text.split("\n").map((line) => line.trim().split(/\s+/))
    .find((line) => line[LOCAL_ADDRESS_COLUMN] === address);
  return columns === undefined ? undefined : Number(columns.at(-1));
}

/** Hexadecimal, the address in the byte order of the machine. */
function formatKernelAddress(local: Endpoint): string {
  const { address, port } = parseEndpoint(local);
  const bytes = address.split(".").map(Number).toReversed();
  return `${bytes.map(formatByte).join("")}:${
    port.toString(16).padStart(4, "0").toUpperCase()
  }`;
}

function formatByte(byte: number): string {
  return byte.toString(16).padStart(2, "0").toUpperCase();
}
