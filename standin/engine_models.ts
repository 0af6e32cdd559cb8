/**
 * The models that a stand-in engine holds, and the orders that change them.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { EngineCommand } from "../src/connection/upstream_transport.ts";
import type { Clock } from "../src/process/clock.ts";
import type { EngineOptions, HeldModel } from "./engine_options.ts";

const ANY_MODEL = "*";
const FIRST_ROLE = "serve";

/** An order that arrived. */
export interface CommandRecord {
  /** Time of arrival on the engine's clock, in milliseconds. */
  at: number;
  command: EngineCommand;
  accepted: boolean;
}

/** What an engine has loaded, and who may change it. */
export class EngineModels {
  readonly #clock: Clock;
  readonly #options: EngineOptions;
  readonly #orders: CommandRecord[] = [];
  #held: HeldModel[];
  #role = FIRST_ROLE;
  #fencing = 0;

  constructor(clock: Clock, options: EngineOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#held = structuredClone(options.models);
  }

  static create(clock: Clock, options: EngineOptions): EngineModels {
    return new EngineModels(clock, options);
  }

  get role(): string {
    return this.#role;
  }

  /** Fencing number of the last order that was accepted. */
  get fencing(): number {
    return this.#fencing;
  }

  /** Whether a model or an adapter of that name is loaded. */
  has(name: string): boolean {
    return this.#held.some((held) =>
      held.model === ANY_MODEL || held.model === name ||
      held.adapters.includes(name)
    );
  }

  /** What is loaded; the list is replaced, never changed in place. */
  list(): HeldModel[] {
    return this.#held;
  }

  listOrders(): readonly CommandRecord[] {
    return this.#orders;
  }

  /** Takes an order; `onChange` is called when a load has come to its end. */
  applyOrder(order: EngineCommand, onChange: () => void): boolean {
    const isOld = order.fencing < this.#fencing;
    const accepted = !(isOld && this.#options.fencing === "checked");
    this.#orders.push({ at: this.#clock.now(), command: order, accepted });
    if (!accepted) return false;
    this.#fencing = order.fencing;
    match(order.action)
      .with("load", () => this.#startLoad(order, onChange))
      .with("unload", () => this.#unload(order))
      .with("role", () => {
        this.#role = order.role ?? FIRST_ROLE;
      })
      .exhaustive();
    return true;
  }

  #startLoad(order: EngineCommand, onChange: () => void): void {
    this.#clock.startTimer(this.#options.loadModelMs, () => {
      this.#load(order);
      onChange();
    });
  }

  #load(order: EngineCommand): void {
    const adapters = order.adapter === undefined ? [] : [order.adapter];
    const held = this.#held.find((other) => isSameModel(other, order));
    const merged = {
      model: order.model,
      version: order.version,
      adapters: [...new Set([...held?.adapters ?? [], ...adapters])],
    };
    this.#held = [...this.#held.filter((other) => other !== held), merged];
  }

  /** An order with an adapter unloads only that. */
  #unload(order: EngineCommand): void {
    const rest = this.#held.filter((held) => !isSameModel(held, order));
    const held = this.#held.find((other) => isSameModel(other, order));
    if (held !== undefined && order.adapter !== undefined) {
      const adapters = held.adapters.filter((name) => name !== order.adapter);
      rest.push({ ...held, adapters });
    }
    this.#held = rest;
  }
}

function isSameModel(held: HeldModel, order: EngineCommand): boolean {
  return held.model === order.model && held.version === order.version;
}
