/**
 * Which waiting request is given up when a shard's queue is too long.
 *
 * @module
 */
import type { WorkspaceName } from "../../ids.ts";
import type { ClassQueue } from "./class_queue.ts";
import type { QueueEntry } from "./waiter.ts";

/**
 * The entry to shed among classes that have some: the last that came of those
 * that the workspaces with the most waiting have last. The head of a class is
 * chosen only where every class has nothing else.
 */
export function chooseShedVictim<T extends QueueEntry>(
  classes: Iterable<ClassQueue<T>>,
): T | undefined {
  let victim: T | undefined;
  let isHead = true;
  for (const queue of classes) {
    const entry = findLatest(queue, queue.findLargestBacklog());
    if (entry === undefined) continue;
    const entryIsHead = queue.getOldest() === entry;
    const better = victim === undefined || (isHead && !entryIsHead) ||
      (isHead === entryIsHead && entry.sequence > victim.sequence);
    if (!better) continue;
    victim = entry;
    isHead = entryIsHead;
  }
  return victim;
}

/** The last entry of `workspace`; a started one only if there is no other. */
export function findLatest<T extends QueueEntry>(
  queue: ClassQueue<T>,
  workspace: WorkspaceName | undefined,
): T | undefined {
  let latest: T | undefined;
  for (const entry of queue.list()) {
    if (entry.workspace !== workspace) continue;
    if (latest === undefined || isBetterVictim(entry, latest)) latest = entry;
  }
  return latest;
}

function isBetterVictim(entry: QueueEntry, than: QueueEntry): boolean {
  if (entry.isResumed !== than.isResumed) return than.isResumed;
  return entry.sequence > than.sequence;
}
