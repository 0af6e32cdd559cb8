/**
 * Orders to engines.
 *
 * @module
 */
export { ORDER_LEASE_MS, ORDER_TRANSIT_MS, OrderGiver } from "./order_giver.ts";
export type { OrderGiverOptions } from "./order_giver.ts";
export { chooseModels, planOrders } from "./placement.ts";
export type { PlacementInput, PlannedOrder } from "./placement.ts";
