/**
 * Datagrams with evidence against requests.
 *
 * @module
 */
import type { SuspectEntry } from "../quarantine/index.ts";
import type { FleetMessage } from "./fleet_message.ts";

/** About 1 KB, which fits into one frame. */
const ENTRIES_PER_MESSAGE = 12;

/** Splits the entries into messages that fit into one frame each. */
export function buildSuspectMessages(
  entries: readonly SuspectEntry[],
): FleetMessage[] {
  const messages: FleetMessage[] = [];
  for (let at = 0; at < entries.length; at += ENTRIES_PER_MESSAGE) {
    messages.push({
      kind: "suspects",
      entries: entries.slice(at, at + ENTRIES_PER_MESSAGE),
    });
  }
  return messages;
}
