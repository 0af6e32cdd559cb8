/**
 * What routed requests use of their process.
 *
 * @module
 */
import type { RequestServices } from "../request/request_services.ts";
import { buildRoutedRefusal } from "../request/routed_handler.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import { AnswerStore } from "./answer_store.ts";
import { UncheckedExecutionClaims } from "./unchecked_execution_claims.ts";
import type { LocalEnvironment } from "./environment.ts";
import type { RequestStatusStore } from "./request_status_store.ts";
import {
  type FetchPlacement,
  type Locality,
  PlacementSource,
  type PlacementState,
  type ReplicaDirectory,
} from "./placement/index.ts";
import type { ProcessMetrics } from "./request_metrics.ts";
import { WindowRetryBudget } from "./retry_budget.ts";
import type { Quarantine } from "./services.ts";
import { UnlimitedSource } from "./unlimited_source.ts";
import { UnreadableHeaderLog } from "./unreadable_header_log.ts";

/**
 * Part of the fleet's retries that VMs use: their shares are not exact, and a
 * VM that restarts has forgotten what it used.
 */
const BUDGET_SHARE = 0.75;
/** The reserve is shared among so many VMs at least. */
const LEAST_VMS = 4;

/** Turns of the event loop after which all sockets were read once. */
const POLL_TURNS = 2;

/** The parts of a VM that requests use. */
export interface RoutedParts extends LocalEnvironment {
  /** The whole fleet's retries. */
  settings: { retryShare: number; retryReserve: number };
  quarantine: Quarantine;
  replicas: ReplicaDirectory;
  locality: Locality;
  placement: PlacementState;
  askOwner: FetchPlacement;
  fates: RequestStatusStore;
  metrics: ProcessMetrics;
  getSnapshot: () => RoutedSnapshot | undefined;
  isDraining: () => boolean;
  listEntries: () => string[];
  /** VMs that are heard, this one included. */
  countVms: () => number;
}

/** Joins the parts. */
export function buildRoutedServices(parts: RoutedParts): RequestServices {
  const { clock, random, settings, placement, fates } = parts;
  return {
    environment: parts,
    getSnapshot: parts.getSnapshot,
    leases: PlacementSource.create({
      clock,
      random,
      directory: parts.replicas,
      locality: parts.locality,
      dataCentre: parts.dataCentre,
      state: placement,
      fetchPlacement: parts.askOwner,
      waitForSocketReads: readArrived,
    }),
    limits: UnlimitedSource.create(),
    claims: UncheckedExecutionClaims.create(random),
    requestStatuses: fates,
    retryBudget: WindowRetryBudget.create({
      clock,
      getShare: () => BUDGET_SHARE * settings.retryShare,
      getReserve: () => {
        const vms = Math.max(LEAST_VMS, parts.countVms());
        return BUDGET_SHARE * settings.retryReserve / vms;
      },
    }),
    quarantine: parts.quarantine,
    unreadableHeaders: UnreadableHeaderLog.create(parts.log),
    metrics: parts.metrics,
    answers: AnswerStore.create({ maxBytes: 0 }),
    isDraining: parts.isDraining,
    buildRefusalOptions: buildRoutedRefusal,
    entries: parts.listEntries,
    findStatus: (requestId) => {
      const fate = fates.find(requestId);
      return Promise.resolve({ fate, answer: undefined });
    },
  };
}

/**
 * Lets the event loop read once what has arrived on its sockets, and handle it.
 *
 * Timers come before the sockets: a VM that was held up for seconds runs all
 * that are due first, and a request whose owner did not answer went out to a
 * replica though its caller had closed the connection long ago. The first turn
 * may end the poll phase in which the request itself was read; the second comes
 * after a whole one.
 */
async function readArrived(): Promise<void> {
  for (let turn = 0; turn < POLL_TURNS; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
