/**
 * Removal of hop-by-hop headers.
 *
 * @module
 */

const HOP_BY_HOP = new Set([
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Copies the end-to-end headers: all but the hop-by-hop headers and those that
 * the `connection` header lists. The copied names are in lower case.
 */
export function copyEndToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const named = listNamed(headers["connection"]);
  const copy: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    const lower = name.toLowerCase();
    if (HOP_BY_HOP.has(lower) || named.includes(lower)) continue;
    copy[lower] = Array.isArray(value) ? value.join(", ") : value;
  }
  return copy;
}

function listNamed(connection: string | string[] | undefined): string[] {
  if (connection === undefined) return [];
  return String(connection).toLowerCase().split(",").map((name) => name.trim());
}
