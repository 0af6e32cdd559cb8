/**
 * The tRPC router between VMs: one mutation for each method of `PeerApi`.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";
import type { PeerApi } from "../process/peer_api.ts";
import { PEER_INPUTS } from "./peer_schemas.ts";

/** What a call is answered with. */
export interface PeerContext {
  api: PeerApi;
}

const TRPC = initTRPC.context<PeerContext>().create({
  isServer: true,
  isDev: false,
});
const CALL = TRPC.procedure;

/** Answers the calls of other VMs by the context's `PeerApi`. */
export const PEER_ROUTER = TRPC.router({
  acquire: CALL.input(PEER_INPUTS.acquire).mutation(({ ctx, input }) => {
    return ctx.api.acquire(input);
  }),
  syncLeases: CALL.input(PEER_INPUTS.syncLeases).mutation(
    ({ ctx, input }) => ctx.api.syncLeases(input),
  ),
  probe: CALL.input(PEER_INPUTS.probe).mutation(({ ctx, input }) => {
    return ctx.api.probe(input);
  }),
  probeVia: CALL.input(PEER_INPUTS.probeVia).mutation(({ ctx, input }) => {
    return ctx.api.probeVia(input.target, input.call);
  }),
  fetchSnapshot: CALL.input(PEER_INPUTS.fetchSnapshot).mutation(
    ({ ctx, input }) => ctx.api.fetchSnapshot(input),
  ),
  leaseLimit: CALL.input(PEER_INPUTS.leaseLimit).mutation(
    ({ ctx, input }) => ctx.api.leaseLimit(input),
  ),
  claimRun: CALL.input(PEER_INPUTS.claimRun).mutation(({ ctx, input }) => {
    return ctx.api.claimRun(input);
  }),
  settleRun: CALL.input(PEER_INPUTS.settleRun).mutation(({ ctx, input }) => {
    return ctx.api.settleRun(input);
  }),
  findFate: CALL.input(PEER_INPUTS.findFate).mutation(({ ctx, input }) => {
    return ctx.api.findFate(input);
  }),
  handOver: CALL.input(PEER_INPUTS.handOver).mutation(({ ctx, input }) => {
    return ctx.api.handOver(input);
  }),
  collectStats: CALL.mutation(({ ctx }) => ctx.api.collectStats()),
  noteSuspects: CALL.input(PEER_INPUTS.noteSuspects).mutation(
    ({ ctx, input }) => ctx.api.noteSuspects(input),
  ),
});

/** The type that the client's side is built from. */
export type PeerRouter = typeof PEER_ROUTER;
