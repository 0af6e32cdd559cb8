import { describe, expect, it } from "vitest";
import { RefreshWait } from "../../../src/process/seeded_fleet/refresh_wait.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const MAX_WAIT_MS = 2_000;
const CHECK_MS = 100;

/** A VM whose view is stale from the start. */
function createWait() {
  const clock = VirtualClock.create();
  const state = {
    isStale: true,
    isUnavailable: false,
    lagMs: 0,
  };
  const wait = RefreshWait.create({
    clock,
    hasSnapshot: () => true,
    isViewStale: () => state.isStale,
    isStoreUnavailable: () => state.isUnavailable,
    getLagMs: () => state.lagMs,
    checkStore: () => {},
  });
  /** Time until requests may be sent, which look again and again. */
  const runUntilUsable = async () => {
    const from = clock.now();
    while (!wait.canUseState()) await clock.run(CHECK_MS);
    return clock.now() - from;
  };
  return { clock, state, wait, runUntilUsable };
}

describe("the state that requests are sent by", () => {
  it("is used again once it is confirmed", async () => {
    const { clock, state, wait } = createWait();
    let isOver = false;
    void wait.waitForFreshState().then(() => isOver = true);
    await clock.run(MAX_WAIT_MS / 2);
    expect(isOver).toBe(false);
    state.isStale = false;
    await clock.run(CHECK_MS);
    expect(isOver).toBe(true);
  });

  it("is used once the store is unavailable", () => {
    const { state, wait } = createWait();
    expect(wait.canUseState()).toBe(false);
    state.isUnavailable = true;
    expect(wait.canUseState()).toBe(true);
  });

  // Guards against a VM whose own calls to the store fail, and that goes on by its
  // old view though it has heard that other VMs have a newer one.
  it("is not used while the store answers other VMs with newer state", async () => {
    const { state, wait, runUntilUsable } = createWait();
    Object.assign(state, { isUnavailable: true, lagMs: 500 });
    expect(wait.canUseState()).toBe(false);
    state.lagMs = 0;
    expect(wait.canUseState()).toBe(true);
    state.lagMs = 500;
    expect(await runUntilUsable()).toBe(MAX_WAIT_MS);
  });

  // Guards against requests that wait for ever, one lease after the other, while
  // the store neither answers nor fails.
  it("is used after a bounded wait", async () => {
    const { runUntilUsable, clock } = createWait();
    expect(await runUntilUsable()).toBe(MAX_WAIT_MS);
    await clock.run(CHECK_MS);
    expect(await runUntilUsable()).toBe(0);
  });

  // Guards against a wait that counts as over although the view was fresh, or the
  // process stalled, since it began.
  it("is waited for anew once it was fresh, and after a stall", async () => {
    const { clock, state, wait, runUntilUsable } = createWait();
    expect(await runUntilUsable()).toBe(MAX_WAIT_MS);
    state.isStale = false;
    expect(wait.canUseState()).toBe(true);
    state.isStale = true;
    expect(await runUntilUsable()).toBe(MAX_WAIT_MS);
    await clock.run(10 * MAX_WAIT_MS);
    expect(await runUntilUsable()).toBe(MAX_WAIT_MS);
  });
});
