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

const NONE: ReadonlySet<string> = new Set();

/**
 * Copies the end-to-end headers: all but the hop-by-hop headers and those that
 * the `connection` header lists, unless they are in `kept`. The copied names are
 * in lower case.
 *
 * Headers of the router's own are added to the copy: a caller's `connection`
 * header may name them.
 */
export function copyEndToEndHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
  kept = NONE,
): Record<string, string> {
  const named = listNamed(headers["connection"])
    .filter((name) => !kept.has(name));
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
