/**
 * The parts that a shard's owner works with, joined.
 *
 * @module
 */
import type { ShardId } from "../../ids.ts";
import type { Snapshot } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import type { ShardSummary } from "../peer_api.ts";
import { buildDecisions, type SchedulerDecisions } from "./decisions.ts";
import { Granter } from "./granter.ts";
import { LeaseAccounts } from "./lease_accounts.ts";
import { OutputLengths } from "./output_lengths.ts";
import { ReplicaSet } from "./replica_set.ts";
import { ServiceSpeed } from "./service_speed.ts";
import { ShardTickets } from "./shard_tickets.ts";
import type { Waiter } from "./waiter.ts";
import { WaiterFactory } from "./waiter_factory.ts";
import { WaitingQueue } from "./waiting_queue.ts";

/** What the parts are made of. */
export interface ShardPartsOptions {
  environment: Environment;
  shard: ShardId;
  getSnapshot: () => Snapshot | undefined;
  /** What is known of the pool's other shards. */
  listOthers?: () => ShardSummary[];
  decisions?: Partial<SchedulerDecisions> | undefined;
  /** Requests that may wait beside the first of each class. */
  queueBound?: number | undefined;
}

/** One of each. */
export interface ShardParts {
  replicas: ReplicaSet;
  queue: WaitingQueue<Waiter>;
  accounts: LeaseAccounts;
  tickets: ShardTickets;
  granter: Granter;
}

/** Joins them; `onWaiting` hears that slots may be granted. */
export function createShardParts(
  options: ShardPartsOptions,
  onWaiting: (now: number) => void,
): ShardParts {
  const { environment, shard, getSnapshot } = options;
  const { clock, log, random } = environment;
  const decisions = buildDecisions(options.decisions);
  const lengths = OutputLengths.create(decisions.learntLengths);
  const speed = ServiceSpeed.create();
  const factory = WaiterFactory.create(getSnapshot, { lengths, speed });
  const replicas = ReplicaSet.create(decisions);
  const queue = WaitingQueue.create<Waiter>(decisions);
  const accounts = LeaseAccounts.create({
    shard,
    random,
    replicas,
    factory,
    lengths,
    speed,
    decisions,
    onClosed: (entry, cost) => {
      queue.noteServed(entry, cost - entry.chargedCost);
      if (cost > 0) queue.noteFinished(entry, cost);
    },
  });
  const shared = { queue, replicas, accounts, factory, decisions };
  const tickets = ShardTickets.create({
    ...shared,
    clock,
    getSnapshot,
    listOthers: options.listOthers ?? (() => []),
    queueBound: options.queueBound,
    onWaiting,
  });
  const granter = Granter.create({
    ...shared,
    shard,
    log,
    waits: tickets.waits,
    getPolicy: () => getSnapshot()?.policy,
    onGranted: (waiter, lease) => tickets.grant(waiter, lease),
  });
  return { replicas, queue, accounts, tickets, granter };
}
