/**
 * Orders to engines.
 *
 * @module
 */
export {
  COMMAND_LEASE_MS as ORDER_LEASE_MS,
  COMMAND_TRANSIT_MS as ORDER_TRANSIT_MS,
  EngineController as OrderGiver,
} from "./engine_controller.ts";
export type { EngineControllerOptions as OrderGiverOptions } from "./engine_controller.ts";
export { chooseModels, planCommands as planOrders } from "./model_placement.ts";
export type {
  PlacementInput,
  PlannedCommand as PlannedOrder,
} from "./model_placement.ts";
