/**
 * Services of the process for routed requests.
 *
 * @module
 */
import type { RequestServices } from "../request/request_services.ts";
import { buildRoutedRefusal } from "../request/routed_handler.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import { AnswerStore } from "./answer_store.ts";
import type { Quarantine } from "./crash_quarantine.ts";
import type { DrainAdmission } from "./drain_admission.ts";
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
import type { HeldLease, LeaseRequest } from "./services.ts";
import { UnlimitedSource } from "./unlimited_source.ts";
import { UnreadableHeaderLog } from "./unreadable_header_log.ts";

/**
 * Share of the fleet's retry budget that VMs use. Their parts of it are not
 * exact, and a VM that restarts has no record of the retries that it used.
 */
const BUDGET_SHARE = 0.75;
/** The reserve is divided among at least this many VMs. */
const MIN_RESERVE_VMS = 4;

/** Event loop turns after which all sockets have been read once. */
const EVENT_LOOP_TURNS = 2;

/** Components of a VM that requests use. */
export interface RoutedServicesOptions extends LocalEnvironment {
  /** Retry budget of the whole fleet. */
  settings: { retryShare: number; retryReserve: number };
  quarantine: Quarantine;
  replicas: ReplicaDirectory;
  /** Time since the list of replicas was confirmed; below 0 for never. */
  getListAgeMs: () => number;
  /** Whether the list was not confirmed for some time. */
  isViewStale: () => boolean;
  /** Whether a request may be sent by the list that this VM has now. */
  canUseState: () => boolean;
  /** Resolves once this VM's state is the newest, as far as it can tell. */
  waitForFreshState: () => Promise<void>;
  locality: Locality;
  placement: PlacementState;
  fetchPlacement: FetchPlacement;
  /** Leases a request to another VM; undefined if it is to run here. */
  forward: (request: LeaseRequest) => HeldLease | undefined;
  requestStatuses: RequestStatusStore;
  metrics: ProcessMetrics;
  getSnapshot: () => RoutedSnapshot | undefined;
  isDraining: () => boolean;
  admission: DrainAdmission;
  listEntries: () => string[];
  /** Number of live VMs, including this one. */
  countLiveVms: () => number;
}

/** Builds the services from the components. */
export function buildRoutedServices(
  options: RoutedServicesOptions,
): RequestServices {
  const { clock, random, settings, placement, requestStatuses } = options;
  return {
    environment: options,
    getSnapshot: options.getSnapshot,
    leases: PlacementSource.create({
      clock,
      log: options.log,
      random,
      directory: options.replicas,
      getListAgeMs: options.getListAgeMs,
      isViewStale: options.isViewStale,
      canUseState: options.canUseState,
      locality: options.locality,
      dataCentre: options.dataCentre,
      state: placement,
      fetchPlacement: options.fetchPlacement,
      forward: options.forward,
      waitForSocketReads,
      waitForFreshState: options.waitForFreshState,
    }),
    limits: UnlimitedSource.create(),
    claims: UncheckedExecutionClaims.create(random),
    requestStatuses,
    retryBudget: WindowRetryBudget.create({
      clock,
      getShare: () => BUDGET_SHARE * settings.retryShare,
      getReserve: () => {
        const vms = Math.max(MIN_RESERVE_VMS, options.countLiveVms());
        return BUDGET_SHARE * settings.retryReserve / vms;
      },
    }),
    quarantine: options.quarantine,
    unreadableHeaders: UnreadableHeaderLog.create(options.log),
    metrics: options.metrics,
    answers: AnswerStore.create({ maxBytes: 0 }),
    isDraining: options.isDraining,
    admission: options.admission,
    buildRefusalOptions: (refusal) =>
      buildRoutedRefusal(refusal, options.isDraining()),
    entries: options.listEntries,
    findStatus: (requestId) => {
      const status = requestStatuses.find(requestId);
      return Promise.resolve({ fate: status, answer: undefined });
    },
  };
}

/**
 * Waits until the event loop has read and handled the data that already arrived
 * on its sockets.
 *
 * Timers run before sockets are read. A VM that was stalled for seconds first
 * runs all timers that are due, so a request whose owner did not answer would
 * be sent to a replica although its caller had closed the connection long
 * before. The first turn may end the poll phase in which the request itself was
 * read; the second one follows a complete poll phase.
 */
async function waitForSocketReads(): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
