/**
 * The daemon: a VM's runtime with its listeners.
 *
 * @module
 */
import { BodyBudget } from "../connection/body_budget.ts";
import type { SocketAddress } from "../connection/endpoint.ts";
import { readFileSync } from "node:fs";
import { createSecureContext } from "node:tls";
import {
  CallerListener,
  type ClientTls,
  DEFAULT_CALLER_LIMITS,
  HttpUpstreamTransport,
  OperatorListener,
  PeerListener,
  type ServerTls,
  TrpcPeerDirectory,
} from "../connection/index.ts";
import { ReadPacer } from "../connection/read_pacer.ts";
import { toError } from "../errors.ts";
import { type Incarnation, toId, type VmId } from "../ids.ts";
import type { ListedVm } from "../version/index.ts";
import { SystemClock } from "./clock.ts";
import { DirectorySource } from "./configuration_directory_source.ts";
import { ServiceSource } from "./configuration_service_source.ts";
import type { ConfigurationSource } from "./configuration_source.ts";
import type { Environment } from "./environment.ts";
import { FleetOperator } from "./fleet_operator.ts";
import { SystemRandom } from "./random.ts";
import { RoarrLog } from "./roarr_log.ts";
import { VmRuntime } from "./runtime.ts";
import type { PeerTlsSettings, Settings, TlsSettings } from "./settings.ts";

const INCARNATION_LENGTH = 8;
const IN_FLIGHT_POLL_MS = 100;

/** The runtime of one VM with its caller, peer and operator listeners. */
export class Daemon {
  readonly environment: Environment;
  readonly runtime: VmRuntime;
  readonly #settings: Settings;
  readonly #callers: CallerListener;
  readonly #peers: PeerListener;
  readonly #operators: OperatorListener;
  readonly #onEnd: () => void;
  #draining: Promise<void> | undefined;

  constructor(settings: Settings, onEnd: () => void) {
    this.#settings = settings;
    this.#onEnd = onEnd;
    this.environment = this.#createEnvironment();
    const { clock, log } = this.environment;
    this.runtime = VmRuntime.create({
      environment: this.environment,
      self: buildSelf(settings),
      source: createSource(settings, this.environment),
      sourceName: settings.source.kind,
      seeds: settings.seeds.map(({ vm }) => vm),
      entriesTtlMs: settings.drain.entriesTtlMs,
      retainedAnswersBytes: settings.retainedAnswersBytes,
    });
    this.#callers = this.#createCallerListener();
    this.#peers = PeerListener.create({
      secret: settings.listeners.peers.secret,
      api: this.runtime.api,
      log,
      tls: readServerTls(settings.listeners.peers.tls),
    });
    this.#operators = OperatorListener.create({
      clock,
      log,
      token: settings.listeners.operators.token,
      api: FleetOperator.create({
        environment: this.environment,
        runtime: this.runtime,
        startDrain: () => void this.drain(),
      }),
      tls: readServerTls(settings.listeners.operators.tls),
    });
  }

  /** `onEnd` is called when a drain has ended. */
  static create(settings: Settings, onEnd: () => void = () => {}): Daemon {
    return new Daemon(settings, onEnd);
  }

  /** Opens the listeners and starts the tasks. Rejects with `StepError`. */
  async start(): Promise<void> {
    const { callers, peers, operators } = this.#settings.listeners;
    await this.#peers.start(peers.host, peers.port);
    await this.#operators.start(operators.host, operators.port);
    this.runtime.start();
    await this.#callers.start(callers.host, callers.port);
    this.environment.log.info("started", {
      vm: this.environment.vm,
      incarnation: this.environment.incarnation,
      data_centre: this.environment.dataCentre,
      callers_port: this.#callers.port,
      peers_port: peers.port,
      operators_port: operators.port,
    });
  }

  /**
   * Shuts down gracefully: announces the drain, hands the owned shards over,
   * keeps serving while callers may have this address cached, then closes the
   * callers' listener and waits for the requests in flight. All of this takes
   * at most `graceMs` of the settings; requests in flight are then cut off.
   */
  drain(): Promise<void> {
    this.#draining ??= this.#runDrain();
    return this.#draining;
  }

  /** Stops at once; requests in flight are cut off. */
  async stop(): Promise<void> {
    this.runtime.stop();
    this.#callers.closeAll();
    this.#operators.closeAll();
    this.#peers.closeAll();
    await Promise.all([
      this.#callers.stop(),
      this.#operators.stop(),
      this.#peers.stop(),
    ]);
  }

  /**
   * Reloads the TLS files for new connections. If a file is incomplete or
   * unreadable, the listeners keep their certificates and the error is logged:
   * an exception in the signal handler would end the daemon and every request
   * in flight.
   */
  updateTls(): void {
    try {
      this.#readAndUpdateTls();
      this.environment.log.info("tls_reloaded");
    } catch (thrown) {
      const error = toError(thrown).message;
      this.environment.log.error("tls_not_reloaded", { error });
    }
  }

  /** Reads and checks all files before the first listener is updated. */
  #readAndUpdateTls(): void {
    const { callers, peers, operators } = this.#settings.listeners;
    const callersTls = readServerTls(callers.tls);
    const peersTls = readServerTls(peers.tls);
    const operatorsTls = readServerTls(operators.tls);
    for (const tls of [callersTls, peersTls, operatorsTls]) {
      if (tls) createSecureContext({ cert: tls.cert, key: tls.key });
    }
    if (callersTls) this.#callers.updateTls(callersTls);
    if (peersTls) this.#peers.updateTls(peersTls);
    if (operatorsTls) this.#operators.updateTls(operatorsTls);
  }

  async #runDrain(): Promise<void> {
    const { clock, log } = this.environment;
    const { graceMs, entriesTtlMs } = this.#settings.drain;
    const startedAt = clock.now();
    log.info("drain_started", { in_flight: this.runtime.inFlight });
    await this.runtime.startDraining();
    await clock.sleep(Math.min(entriesTtlMs, graceMs));
    const closed = this.#callers.stop();
    const endsAt = startedAt + graceMs;
    while (this.#hasWork() && clock.now() < endsAt) {
      await clock.sleep(IN_FLIGHT_POLL_MS);
    }
    const cut = this.runtime.inFlight;
    if (cut > 0) log.warn("drain_cut", { in_flight: cut });
    await this.stop();
    await closed;
    log.info("drain_ended", { ms: Math.round(clock.now() - startedAt) });
    this.#onEnd();
  }

  #hasWork(): boolean {
    return this.runtime.inFlight > 0 || this.runtime.claims.unsettledCount > 0;
  }

  #createEnvironment(): Environment {
    const settings = this.#settings;
    const clock = SystemClock.create();
    const random = SystemRandom.create();
    const log = RoarrLog.create({ clock, level: settings.logLevel });
    return {
      vm: settings.vm,
      incarnation: toId<Incarnation>(random.nextHex(INCARNATION_LENGTH)),
      dataCentre: settings.dataCentre,
      clock,
      random,
      log,
      peers: TrpcPeerDirectory.create({
        clock,
        secret: settings.listeners.peers.secret,
        from: settings.vm,
        findAddress: (vm) => this.#findPeerAddress(vm),
        tls: readClientTls(settings.listeners.peers.tls),
      }),
      upstreams: HttpUpstreamTransport.create({
        clock,
        log,
        findAddress: (vm) => this.runtime.membership.findVm(vm),
        pacer: ReadPacer.create(clock),
      }),
    };
  }

  #createCallerListener(): CallerListener {
    const { clock, log } = this.environment;
    const { limits, listeners } = this.#settings;
    return CallerListener.create({
      clock,
      log,
      bodies: BodyBudget.create(),
      limits: {
        ...DEFAULT_CALLER_LIMITS,
        maxHeaderBytes: limits.maxHeaderBytes,
        maxBodyBytes: limits.maxBodyBytes,
        maxConnections: limits.maxConnections,
        headersTimeoutMs: limits.headerTimeoutMs,
        bodyTimeoutMs: limits.bodyTimeoutMs,
      },
      handler: this.runtime,
      issueId: () => this.runtime.issueId(),
      tls: readServerTls(listeners.callers.tls),
    });
  }

  #findPeerAddress(
    vm: VmId,
  ): SocketAddress | undefined {
    const listed = this.runtime.membership.findVm(vm);
    if (listed !== undefined) {
      return { address: listed.address, port: listed.peerPort };
    }
    const seed = this.#settings.seeds.find((one) => one.vm === vm);
    return seed && { address: seed.address, port: seed.peerPort };
  }
}

function buildSelf(settings: Settings): ListedVm {
  return {
    id: settings.vm,
    role: "entry",
    state: "live",
    dataCentre: settings.dataCentre,
    address: settings.address,
    port: settings.listeners.callers.port,
    peerPort: settings.listeners.peers.port,
    pool: undefined,
  };
}

function createSource(
  settings: Settings,
  environment: Environment,
): ConfigurationSource {
  const { clock } = environment;
  if (settings.source.kind === "directory") {
    return DirectorySource.create({
      clock,
      directory: settings.source.path,
    });
  }
  return ServiceSource.create({ clock, urls: settings.source.urls });
}

function readServerTls(tls: TlsSettings | undefined): ServerTls | undefined {
  if (tls === undefined) return undefined;
  return {
    cert: readFileSync(tls.certFile, "utf8"),
    key: readFileSync(tls.keyFile, "utf8"),
  };
}

function readClientTls(
  tls: PeerTlsSettings | undefined,
): ClientTls | undefined {
  if (tls === undefined) return undefined;
  return { ca: readFileSync(tls.caFile ?? tls.certFile, "utf8") };
}
