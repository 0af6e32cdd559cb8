/**
 * Operator API of a VM: its own state and its view of the fleet.
 *
 * @module
 */
import { type HealthAnswer, OperatorApi } from "../connection/index.ts";
import { toError } from "../errors.ts";
import type { RequestId, VmId } from "../ids.ts";
import {
  buildUndeterminedPage,
  formatStatusPage,
} from "../request/request_status_page.ts";
import { parseSeries } from "./burn_stats.ts";
import type { Environment } from "./environment.ts";
import { Readiness } from "./readiness.ts";
import type { VmRuntime } from "./runtime.ts";

const MS_PER_SECOND = 1_000;

/** Options of `FleetOperator`. */
export interface FleetOperatorOptions {
  environment: Environment;
  runtime: VmRuntime;
  /** Starts the drain that ends the process. */
  startDrain: () => void;
}

/** A VM whose statistics could not be fetched. */
interface MissingVm {
  vm: VmId;
  why: string;
}

/** Implements the operator API for one process. */
export class FleetOperator extends OperatorApi {
  readonly #environment: Environment;
  readonly #runtime: VmRuntime;
  readonly #readiness: Readiness;
  readonly #startDrain: () => void;

  constructor(options: FleetOperatorOptions) {
    super();
    this.#environment = options.environment;
    this.#runtime = options.runtime;
    this.#readiness = Readiness.create(options.environment, options.runtime);
    this.#startDrain = options.startDrain;
    this.#addGauges();
  }

  static create(options: FleetOperatorOptions): FleetOperator {
    return new FleetOperator(options);
  }

  override getStatus(): Promise<object> {
    const { vm, incarnation, dataCentre } = this.#environment;
    const runtime = this.#runtime;
    return Promise.resolve({
      vm,
      incarnation,
      data_centre: dataCentre,
      uptime_ms: Math.round(runtime.uptimeMs),
      config_version: runtime.getSnapshot()?.version ?? 0,
      list_revision: runtime.membership.getList().revision,
      draining: runtime.isDraining,
      in_flight: runtime.inFlight,
      members: this.#listMembers(),
      shards: runtime.prober.summaries.list().map((summary) => ({
        shard: summary.shard,
        owner: summary.owner,
        slots: summary.slots,
        room: summary.room,
        waiting_by_rank: summary.waitingByRank,
        expected_wait_ms: summary.expectedWaitMs,
      })),
    });
  }

  override listVersions(): Promise<object> {
    const report = this.#runtime.follower.listVersions();
    const own = {
      vm: report.vm,
      version: report.version,
      since_ms: report.origin?.ageMs ?? null,
      from: report.origin?.from ?? null,
      list_revision: report.listRevision,
      is_watcher: report.isWatcher,
    };
    const others = report.peers.map((peer) => ({
      vm: peer.vm,
      version: peer.version,
      since_ms: peer.sinceMs,
      from: peer.from ?? null,
      list_revision: peer.listRevision,
    }));
    return Promise.resolve({
      vms: [own, ...others],
      history: report.history.map(({ ageMs, ...decision }) => ({
        ...decision,
        age_ms: ageMs,
      })),
      view_age_ms: Number.isFinite(report.viewAgeMs) ? report.viewAgeMs : null,
    });
  }

  override startDrain(): Promise<object> {
    this.#startDrain();
    const { vm } = this.#environment;
    return Promise.resolve({
      vm,
      draining: true,
      in_flight: this.#runtime.inFlight,
    });
  }

  override async findRequestStatus(
    requestId: RequestId,
  ): Promise<object | undefined> {
    try {
      const { fate: status } = await this.#runtime.requestStatusFinder
        .findStatus(requestId);
      return status && formatStatusPage(status);
    } catch (thrown) {
      // The VM that issued the id is unreachable or has lost the status. An
      // "unknown" status would suggest that the request never arrived, so this
      // case has its own page.
      return buildUndeterminedPage(requestId, thrown);
    }
  }

  override async collectBurn(): Promise<object> {
    const listed = this.#runtime.membership.listEntryVms();
    const missing: MissingVm[] = [];
    const vms: object[] = [];
    await Promise.all(listed.map(async ({ id }) => {
      try {
        const stats = id === this.#environment.vm
          ? this.#runtime.collectStats()
          : await this.#environment.peers.getPeer(id).collectStats();
        const parsed = parseSeries(stats.series);
        if (parsed === undefined) throw new Error("Unknown statistics format");
        vms.push({
          vm: stats.vm,
          incarnation: stats.incarnation,
          up_ms: stats.upMs,
          config_version: stats.configVersion,
          // Not merged here: two merged answers could not be combined without
          // counting requests twice.
          series: parsed,
        });
      } catch (thrown) {
        missing.push({ vm: id, why: toError(thrown).message });
      }
    }));
    return {
      vms,
      missing,
      objectives: this.#listObjectives(),
    };
  }

  override renderMetrics(): Promise<string> {
    return this.#runtime.metrics.renderPrometheus();
  }

  override checkHealth(): HealthAnswer {
    return { ok: true, detail: "Running" };
  }

  override checkReadiness(): HealthAnswer {
    return this.#readiness.check();
  }

  /** Adds the gauges for alerts on this VM's view of the fleet. */
  #addGauges(): void {
    const { metrics, membership, follower } = this.#runtime;
    metrics.addGauge("configuration_version", {
      help: "Version of the active configuration; 0 before the first",
      read: () => follower.getSnapshot()?.version ?? 0,
    });
    metrics.addGauge("membership_revision", {
      help: "Revision of the active membership list",
      read: () => membership.getList().revision,
    });
    metrics.addGauge("view_age_seconds", {
      help: "Time since the membership list was last known to be the newest",
      read: () => membership.getViewAgeMs() / MS_PER_SECOND,
    });
    metrics.addGauge("requests_in_flight", {
      help: "Requests in flight on this VM",
      read: () => this.#runtime.inFlight,
    });
    metrics.addGauge("unreachable_vms", {
      help: "Listed entry VMs that this VM considers dead",
      read: () =>
        membership.listEntryVms().filter(({ id }) => {
          return !membership.isReachable(id);
        }).length,
    });
    metrics.addGauge("draining", {
      help: "1 while this VM is draining",
      read: () => Number(this.#runtime.isDraining),
    });
    metrics.addGauge("ready", {
      help: "1 while /readyz reports ready",
      read: () => Number(this.#readiness.check().ok),
    });
  }

  #listMembers(): object[] {
    const { membership, follower } = this.#runtime;
    const peers = follower.listVersions().peers;
    return membership.listEntryVms().map(({ id, dataCentre, state }) => ({
      vm: id,
      data_centre: dataCentre,
      listed: state,
      state: this.#formatState(id),
      config_version: id === this.#environment.vm
        ? this.#runtime.getSnapshot()?.version ?? 0
        : peers.find(({ vm }) => vm === id)?.version ?? null,
    }));
  }

  #formatState(vm: VmId): string {
    const { membership } = this.#runtime;
    if (!membership.isReachable(vm)) return "unreachable";
    return membership.isDraining(vm) ? "draining" : "alive";
  }

  #listObjectives(): object[] {
    const snapshot = this.#runtime.getSnapshot();
    if (snapshot === undefined) return [];
    return [...snapshot.classes.values()].map((requestClass) => ({
      class: requestClass.name,
      tier: requestClass.tier,
      objective: requestClass.objective,
      workspaces: Object.fromEntries(
        [...snapshot.workspaces.values()].flatMap((workspace) => {
          const objective = workspace.objectives[requestClass.name];
          return objective === undefined ? [] : [[workspace.name, objective]];
        }),
      ),
    }));
  }
}
