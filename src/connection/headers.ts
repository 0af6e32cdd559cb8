/**
 * Headers that concern one connection alone and are never passed on.
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
 * Copies the headers that may be passed on: all but the hop-by-hop ones and
 * those that `connection` names. Names in lower case.
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
