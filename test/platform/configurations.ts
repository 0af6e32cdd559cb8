/**
 * The operator's configurations, for tests.
 *
 * @module
 */

/** The API key that configurations contain by default. */
export const KEY = "key-1";
/** The host of every route. */
export const HOST = "host.example";
const IDLE_TIMEOUT_MS = 15_000;

/** A route of a configuration. */
export interface TestRoute {
  name: string;
  type: "safe" | "unsafe" | "streaming";
  timeoutMs?: number;
  attempts?: number;
  resumable?: boolean;
  isPublic?: boolean;
  /** Longest pause between events with which an answer is on time. */
  gapAimMs?: number;
  service?: string;
  /** Regions that may run the route's requests. */
  regions?: string[];
}

export const ROUTES: TestRoute[] = [
  { name: "safe", type: "safe", attempts: 2 },
  { name: "unsafe", type: "unsafe", attempts: 1 },
  { name: "stream", type: "streaming", attempts: 1 },
  { name: "restream", type: "streaming", attempts: 2, resumable: true },
  { name: "retake", type: "streaming", attempts: 1, resumable: true },
];

/** Builds a configuration as stored. */
export function buildConfiguration(
  version: number,
  changes: {
    routes?: TestRoute[];
    keys?: string[];
    /** Whether it has no tenants at all. */
    isOpen?: boolean;
    /** Keys of a second tenant, which is added only if they are set. */
    otherKeys?: string[];
    /** Fields of the first service besides its name. */
    pool?: object;
  } = {},
): unknown {
  return {
    version,
    routes: (changes.routes ?? ROUTES).map((route) => ({
      name: route.name,
      host: HOST,
      prefix: `/${route.name}/`,
      "route-type": route.type,
      "timeout-ms": route.timeoutMs ?? 2_000,
      "target-latency-ms": 300,
      priority: 1,
      service: route.service ?? "pool",
      "max-attempts": route.attempts ?? 1,
      public: route.isPublic ?? false,
      resumable: route.resumable ?? false,
      ...(route.gapAimMs === undefined ? {} : { "gap-aim-ms": route.gapAimMs }),
      ...(route.regions === undefined
        ? {}
        : { "allowed-regions": route.regions }),
    })),
    services: [{ name: "pool", ...changes.pool }, { name: "other" }],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 65_536,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": IDLE_TIMEOUT_MS,
    },
    ...(changes.isOpen === true ? {} : { tenants: buildTenants(changes) }),
  };
}

function buildTenants(
  { keys = [KEY], otherKeys }: { keys?: string[]; otherKeys?: string[] },
): object[] {
  const first = { name: "tenant-1", "api-keys": keys };
  return otherKeys === undefined
    ? [first]
    : [first, { name: "tenant-2", "api-keys": otherKeys }];
}
