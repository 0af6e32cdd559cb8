/**
 * tRPC router for calls between VMs: one mutation per method of `PeerApi`.
 *
 * @module
 */
import { initTRPC } from "@trpc/server";
import type { PeerApi } from "../process/peer_api.ts";
import { PEER_INPUTS } from "./peer_schemas.ts";

/** The tRPC context of a call. */
export interface PeerContext {
  api: PeerApi;
}

const TRPC = initTRPC.context<PeerContext>().create({
  isServer: true,
  isDev: false,
});
const PROCEDURE = TRPC.procedure;

/** Forwards each call to the `PeerApi` of the context. */
export const PEER_ROUTER = TRPC.router({
  acquire: PROCEDURE.input(PEER_INPUTS.acquire).mutation(({ ctx, input }) => {
    return ctx.api.acquire(input);
  }),
  syncLeases: PROCEDURE.input(PEER_INPUTS.syncLeases).mutation(
    ({ ctx, input }) => ctx.api.syncLeases(input),
  ),
  probe: PROCEDURE.input(PEER_INPUTS.probe).mutation(({ ctx, input }) => {
    return ctx.api.probe(input);
  }),
  probeVia: PROCEDURE.input(PEER_INPUTS.probeVia).mutation(({ ctx, input }) => {
    return ctx.api.probeVia(input.target, input.call);
  }),
  fetchSnapshot: PROCEDURE.input(PEER_INPUTS.fetchSnapshot).mutation(
    ({ ctx, input }) => ctx.api.fetchSnapshot(input),
  ),
  leaseLimit: PROCEDURE.input(PEER_INPUTS.leaseLimit).mutation(
    ({ ctx, input }) => ctx.api.leaseLimit(input),
  ),
  claimRun: PROCEDURE.input(PEER_INPUTS.claimRun).mutation(({ ctx, input }) => {
    return ctx.api.claimRun(input);
  }),
  settleRun: PROCEDURE.input(PEER_INPUTS.settleRun).mutation(
    ({ ctx, input }) => {
      return ctx.api.settleRun(input);
    },
  ),
  findFate: PROCEDURE.input(PEER_INPUTS.findFate).mutation(({ ctx, input }) => {
    return ctx.api.findFate(input);
  }),
  handOver: PROCEDURE.input(PEER_INPUTS.handOver).mutation(({ ctx, input }) => {
    return ctx.api.handOver(input);
  }),
  collectStats: PROCEDURE.mutation(({ ctx }) => ctx.api.collectStats()),
  noteSuspects: PROCEDURE.input(PEER_INPUTS.noteSuspects).mutation(
    ({ ctx, input }) => ctx.api.noteSuspects(input),
  ),
  checkReach: PROCEDURE.input(PEER_INPUTS.checkReach).mutation(
    ({ ctx, input }) => ctx.api.checkReach(input),
  ),
});

/** The router's type, for the client. */
export type PeerRouter = typeof PEER_ROUTER;
