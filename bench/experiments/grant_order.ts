/**
 * Counts grants that came out of the order of arrival.
 *
 * @module
 */
import type { ClassName, TicketId, WorkspaceName } from "../../src/ids.ts";

/** One ticket at the owner of its queue, in true time. */
export interface WatchedTicket {
  ticket: TicketId;
  className: ClassName;
  workspace: WorkspaceName;
  /** When the request truly arrived at its entry VM. */
  arrivedAt: number;
  /** When the ticket came to the owner. */
  enteredAt: number;
  /** How much older than it is the owner takes the request to be. */
  errorMs: number;
  /** Place among the owner's grants; undefined for what was not granted. */
  granted: { at: number; order: number } | undefined;
}

/** Pairs of tickets that waited together when one of them was granted. */
export interface PairCount {
  pairs: number;
  /** The one that arrived later was granted first. */
  outOfOrder: number;
}

/**
 * Counts pairs within one class, or within one class and workspace: between
 * workspaces the fair share decides and no clock.
 */
export function countPairs(
  tickets: readonly WatchedTicket[],
  within: "class" | "workspace",
): PairCount {
  const groups = new Map<string, WatchedTicket[]>();
  for (const ticket of tickets) {
    if (ticket.granted === undefined) continue;
    const part = within === "class" ? "" : ticket.workspace;
    const key = `${ticket.className}/${part}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [ticket]);
    else group.push(ticket);
  }
  const sum: PairCount = { pairs: 0, outOfOrder: 0 };
  for (const group of groups.values()) addGroup(sum, group);
  return sum;
}

function addGroup(sum: PairCount, group: WatchedTicket[]): void {
  group.sort((left, right) => left.granted!.order - right.granted!.order);
  group.forEach((first, index) => {
    for (const second of group.slice(index + 1)) {
      if (second.enteredAt > first.granted!.at) continue;
      sum.pairs++;
      if (second.arrivedAt < first.arrivedAt) sum.outOfOrder++;
    }
  });
}
