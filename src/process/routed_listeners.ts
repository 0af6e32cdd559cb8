/**
 * The listeners of a routed VM: for callers, for requests that other VMs pass
 * on, and for state.
 *
 * @module
 */
import { BodyBudget } from "../connection/body_budget.ts";
import { CallerListener } from "../connection/caller_listener.ts";
import type { SimpleListener } from "../connection/simple_listener.ts";
import type { CallerHandler } from "../request/caller_request.ts";
import type { CallerBounds } from "../version/routes.ts";
import type { Clock } from "./clock.ts";
import { computeConnectionShares } from "./connection_shares.ts";
import {
  buildForwardedLimits,
  createForwardedListener,
} from "./forwarding/index.ts";
import type { Log } from "./log.ts";
import {
  buildCallerLimits,
  INITIAL_CALLER_LIMITS,
} from "./routed_caller_limits.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import { createStateListener, type StateHandlers } from "./state_listener.ts";

/** Options of `RoutedListeners`. */
export interface RoutedListenersOptions {
  clock: Clock;
  log: Log;
  /** Handles the requests of callers, whichever VM they reached. */
  handler: CallerHandler;
  /** Whether a VM of the fleet has this IP address. */
  isPeer: (address: string) => boolean;
  /** Descriptors that the process may have open. */
  maxDescriptors: number;
  state: StateHandlers;
}

/** All listeners of one VM. */
export class RoutedListeners {
  /** Bodies that are being read, from callers and other VMs. */
  readonly bodies = BodyBudget.create();
  readonly #callers: CallerListener;
  readonly #forwarded: CallerListener;
  readonly #state: SimpleListener;

  constructor(options: RoutedListenersOptions) {
    const shares = computeConnectionShares(options.maxDescriptors);
    this.#callers = CallerListener.create({
      ...options,
      bodies: this.bodies,
      limits: { ...INITIAL_CALLER_LIMITS, maxConnections: shares.callers },
    });
    this.#forwarded = createForwardedListener({
      ...options,
      bodies: this.bodies,
      maxConnections: shares.forwarded,
    });
    this.#state = createStateListener({
      log: options.log,
      maxConnections: shares.state,
      handlers: options.state,
    });
  }

  static create(options: RoutedListenersOptions): RoutedListeners {
    return new RoutedListeners(options);
  }

  /** Opens all listeners, those for callers last. Rejects with `StepError`. */
  async start(
    { listeners, address, peerPort }: RoutedSettings,
  ): Promise<void> {
    await this.#state.startAt(listeners.state);
    // Datagrams arrive at the same port number.
    await this.#forwarded.start(address, peerPort);
    await this.#callers.startAt(listeners.callers);
  }

  /** Applies the limits of a configuration. */
  updateLimits(bounds: CallerBounds): void {
    const limits = buildCallerLimits(bounds);
    this.#callers.updateLimits(limits);
    this.#forwarded.updateLimits(buildForwardedLimits(limits));
  }

  /** Accepts no more requests; resolves once those in flight have ended. */
  async closeForCallers(): Promise<void> {
    await Promise.all([this.#callers.stop(), this.#forwarded.stop()]);
  }

  /** Closes all connections at once. */
  async stop(): Promise<void> {
    this.#callers.closeAll();
    this.#forwarded.closeAll();
    this.#state.closeAll();
    await Promise.all([this.closeForCallers(), this.#state.stop()]);
  }
}
