/**
 * Counts grants that were not in order of arrival.
 *
 * @module
 */
import type { ClassName, TicketId, WorkspaceName } from "../../src/ids.ts";

/** One ticket at the owner of its queue; times are true times. */
export interface WatchedTicket {
  ticket: TicketId;
  className: ClassName;
  workspace: WorkspaceName;
  /** True time at which the request arrived at its entry VM. */
  arrivedAt: number;
  /** Time at which the ticket reached the owner. */
  enteredAt: number;
  /** Error of the request's age as the owner sees it; positive if too old. */
  errorMs: number;
  /**
   * Time and position of the grant; undefined if the ticket was not granted.
   */
  granted: { at: number; order: number } | undefined;
}

/**
 * Counts pairs of tickets of which both were waiting when the first was
 * granted.
 */
export interface PairCount {
  pairs: number;
  /** Pairs in which the later arrival was granted first. */
  outOfOrder: number;
}

/**
 * Counts pairs within one class, or within one class and workspace. Between
 * workspaces the fair share determines the order, not the clocks.
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
