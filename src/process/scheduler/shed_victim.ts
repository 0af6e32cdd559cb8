/**
 * Chooses the waiting request to shed when a shard's queue is too long.
 *
 * @module
 */
import type { WorkspaceName } from "../../ids.ts";
import type { ClassQueue } from "./class_queue.ts";
import type { QueueEntry } from "./waiter.ts";

/**
 * Returns the entry to shed: for each class the latest entry of the workspace
 * with the largest backlog, and among these the latest one. The head of a class
 * is chosen only if no class offers another entry.
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
    const isBetter = victim === undefined || (isHead && !entryIsHead) ||
      (isHead === entryIsHead && entry.sequence > victim.sequence);
    if (!isBetter) continue;
    victim = entry;
    isHead = entryIsHead;
  }
  return victim;
}

/**
 * Returns the latest entry of `workspace`. Resumed ones are returned only if
 * the workspace has no others.
 */
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

function isBetterVictim(entry: QueueEntry, other: QueueEntry): boolean {
  if (entry.isResumed !== other.isResumed) return other.isResumed;
  return entry.sequence > other.sequence;
}
