/**
 * Sends load, unload and role commands to engines.
 *
 * @module
 */
export {
  COMMAND_LEASE_MS,
  COMMAND_TRANSIT_MS,
  EngineController,
} from "./engine_controller.ts";
export type { EngineControllerOptions } from "./engine_controller.ts";
export { chooseModels, planCommands } from "./model_placement.ts";
export type { PlacementInput, PlannedCommand } from "./model_placement.ts";
