/**
 * Branded identifiers: string types that are not interchangeable.
 *
 * @module
 */

/** A `T` that is distinct from other brands of `T`. */
export type Brand<T, Name extends string> = T & { readonly __brand: Name };

/** The name of an entry VM or an upstream VM in the membership list. */
export type VmId = Brand<string, "VmId">;
/**
 * One process on a VM, from its start to its end; each restart gets a new one.
 */
export type Incarnation = Brand<string, "Incarnation">;
/** The name of a data centre in the settings and the membership list. */
export type DataCentre = Brand<string, "DataCentre">;
/** The name of a region, which groups data centres, in the settings. */
export type Region = Brand<string, "Region">;
/** The name of a workspace in the records. */
export type WorkspaceName = Brand<string, "WorkspaceName">;
/** The name of a request class in the records. */
export type ClassName = Brand<string, "ClassName">;
/** The name of a tier in the records. */
export type TierName = Brand<string, "TierName">;
/** The name of an upstream pool in the records. */
export type PoolName = Brand<string, "PoolName">;
/** The name of a model, as callers send it. */
export type ModelName = Brand<string, "ModelName">;
/** Identifies a request; includes the VM and incarnation that issued it. */
export type RequestId = Brand<string, "RequestId">;
/** A hash of a request's content, the same each time a caller sends it. */
export type RequestFingerprint = Brand<string, "RequestFingerprint">;
/** A part of prompts that requests to a pool share, as `POOL/PART`. */
export type PartKey = Brand<string, "PartKey">;
/** Identifies one attempt of a request in a shard's queue. */
export type TicketId = Brand<string, "TicketId">;
/** Identifies the lease of one slot on one replica. */
export type LeaseId = Brand<string, "LeaseId">;
/** Identifies a stream by what began it, for messages between VMs. */
export type StreamKey = Brand<string, "StreamKey">;
/** The version of an upstream's software, as it publishes it. */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;
/** Identifies a shard of a pool, as `POOL/INDEX`. */
export type ShardId = Brand<string, "ShardId">;

/** The name of a route in the records. */
export type RouteName = Brand<string, "RouteName">;

/** Any branded identifier. */
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
  | PartKey
  | TicketId
  | LeaseId
  | ShardId
  | SoftwareVersion
  | StreamKey
  | RouteName;

/** Brands a text that is known to be an identifier of type `T`. */
export function toId<T extends AnyId>(text: string): T {
  return text as T;
}
