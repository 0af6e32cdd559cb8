/**
 * Evidence against requests as datagrams.
 *
 * @module
 */
import type { SuspectEntry } from "../quarantine/index.ts";
import type { FleetMessage } from "./fleet_message.ts";

/** About 1 KB, which one frame holds. */
const ENTRIES_PER_MESSAGE = 12;

/** The entries as messages of one frame each; none where there are none. */
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
