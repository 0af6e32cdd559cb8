/**
 * Branded identifiers: a string of one kind cannot be passed for another.
 *
 * @module
 */

/** A value of type `T` that only counts as `Name`. */
export type Brand<T, Name extends string> = T & { readonly __brand: Name };

/** An entry VM or an upstream VM, as the membership list names it. */
export type VmId = Brand<string, "VmId">;
/** One life of a process on a VM; a restart gets another. */
export type Incarnation = Brand<string, "Incarnation">;
/** A data centre, as the settings and the membership list name it. */
export type DataCentre = Brand<string, "DataCentre">;
/** A region, as the settings name it; it has several data centres. */
export type Region = Brand<string, "Region">;
/** A workspace's name in the records. */
export type WorkspaceName = Brand<string, "WorkspaceName">;
/** A request class's name in the records. */
export type ClassName = Brand<string, "ClassName">;
/** A tier's name in the records. */
export type TierName = Brand<string, "TierName">;
/** An upstream pool's name in the records. */
export type PoolName = Brand<string, "PoolName">;
/** A model's name, as callers send it. */
export type ModelName = Brand<string, "ModelName">;
/** One request for good: names the VM and incarnation that issued it. */
export type RequestId = Brand<string, "RequestId">;
/** One request however often it is sent: what its callers repeat. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;
/** One try of a request in a shard's queue. */
export type TicketId = Brand<string, "TicketId">;
/** One slot granted on one replica. */
export type LeaseId = Brand<string, "LeaseId">;
/** A shard of a pool, written `POOL/INDEX`. */
export type ShardId = Brand<string, "ShardId">;

/** A route's name in the records. */
export type RouteName = Brand<string, "RouteName">;

/** Every identifier that is a string. */
export type AnyId =
  | VmId
  | Incarnation
  | DataCentre
  | Region
  | WorkspaceName
  | ClassName
  | TierName
  | PoolName
  | ModelName
  | RequestId
  | RequestFingerprint
  | TicketId
  | LeaseId
  | ShardId
  | RouteName;

/** Brands `text` at a boundary where its kind is known. */
export function toId<T extends AnyId>(text: string): T {
  return text as T;
}
