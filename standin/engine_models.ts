/**
 * The models loaded on a stand-in engine, and the commands that change them.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { EngineCommand } from "../src/connection/upstream_transport.ts";
import type { Clock } from "../src/process/clock.ts";
import type { EngineOptions, LoadedModel } from "./engine_options.ts";

const ANY_MODEL = "*";
const FIRST_ROLE = "serve";

/** A command that the engine received. */
export interface CommandRecord {
  /** Time of receipt on the engine's clock, in milliseconds. */
  at: number;
  command: EngineCommand;
  accepted: boolean;
}

/** Loaded models, the engine's role and the current fencing number. */
export class EngineModels {
  readonly #clock: Clock;
  readonly #options: EngineOptions;
  readonly #commands: CommandRecord[] = [];
  #loaded: LoadedModel[];
  #role = FIRST_ROLE;
  #fencing = 0;

  constructor(clock: Clock, options: EngineOptions) {
    this.#clock = clock;
    this.#options = options;
    this.#loaded = structuredClone(options.models);
  }

  static create(clock: Clock, options: EngineOptions): EngineModels {
    return new EngineModels(clock, options);
  }

  get role(): string {
    return this.#role;
  }

  /** Fencing number of the last accepted command. */
  get fencing(): number {
    return this.#fencing;
  }

  /** Whether a model or an adapter named `name` is loaded. */
  has(name: string): boolean {
    return this.#loaded.some((loaded) =>
      loaded.model === ANY_MODEL || loaded.model === name ||
      loaded.adapters.includes(name)
    );
  }

  /** Returns the loaded models; the array is replaced, never modified. */
  list(): LoadedModel[] {
    return this.#loaded;
  }

  listCommands(): readonly CommandRecord[] {
    return this.#commands;
  }

  /**
   * Applies a command, unless it is fenced off; calls `onChange` once a load
   * has completed.
   */
  applyCommand(command: EngineCommand, onChange: () => void): boolean {
    const isOld = command.fencing < this.#fencing;
    const accepted = !(isOld && this.#options.fencing === "checked");
    this.#commands.push({ at: this.#clock.now(), command, accepted });
    if (!accepted) return false;
    this.#fencing = command.fencing;
    match(command.action)
      .with("load", () => this.#startLoad(command, onChange))
      .with("unload", () => this.#unload(command))
      .with("role", () => {
        this.#role = command.role ?? FIRST_ROLE;
      })
      .exhaustive();
    return true;
  }

  #startLoad(command: EngineCommand, onChange: () => void): void {
    this.#clock.startTimer(this.#options.loadModelMs, () => {
      this.#load(command);
      onChange();
    });
  }

  #load(command: EngineCommand): void {
    const adapters = command.adapter === undefined ? [] : [command.adapter];
    const loaded = this.#loaded.find((other) => isSameModel(other, command));
    const merged = {
      model: command.model,
      version: command.version,
      adapters: [...new Set([...loaded?.adapters ?? [], ...adapters])],
    };
    this.#loaded = [
      ...this.#loaded.filter((other) => other !== loaded),
      merged,
    ];
  }

  /** Unloads the model, or only the adapter if the command names one. */
  #unload(command: EngineCommand): void {
    const rest = this.#loaded.filter((loaded) => !isSameModel(loaded, command));
    const loaded = this.#loaded.find((other) => isSameModel(other, command));
    if (loaded !== undefined && command.adapter !== undefined) {
      const adapters = loaded.adapters.filter((name) =>
        name !== command.adapter
      );
      rest.push({ ...loaded, adapters });
    }
    this.#loaded = rest;
  }
}

function isSameModel(loaded: LoadedModel, command: EngineCommand): boolean {
  return loaded.model === command.model && loaded.version === command.version;
}
