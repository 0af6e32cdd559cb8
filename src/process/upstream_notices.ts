/**
 * Notices of upstreams that they are leaving, which arrive before the published
 * list shows it.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import { UNKNOWN_INCARNATION } from "./member_states.ts";
import type { MemberUpdate } from "./peer_api.ts";

interface Notice {
  isLeaving: boolean;
  counter: number;
  /**
   * `Clock.now()` at the time of the notice; load reports describe an earlier
   * moment.
   */
  reportedAt: number;
}

/** The last notice of each upstream, with a counter for the gossip. */
export class UpstreamNotices {
  readonly #notices = new Map<VmId, Notice>();

  static create(): UpstreamNotices {
    return new UpstreamNotices();
  }

  isLeaving(vm: VmId): boolean {
    return this.#notices.get(vm)?.isLeaving ?? false;
  }

  /**
   * Records an upstream's own notice and returns the update if it changes the
   * state. A notice older than the last one is ignored.
   */
  recordNotice(
    vm: VmId,
    isLeaving: boolean,
    reportedAt: number,
  ): MemberUpdate | undefined {
    const known = this.#notices.get(vm);
    if (known !== undefined && reportedAt < known.reportedAt) return undefined;
    if (known !== undefined) known.reportedAt = reportedAt;
    if (this.isLeaving(vm) === isLeaving) return undefined;
    const counter = (known?.counter ?? 0) + 1;
    this.#notices.set(vm, { isLeaving, counter, reportedAt });
    const state = isLeaving ? "draining" : "alive";
    return { vm, incarnation: UNKNOWN_INCARNATION, state, counter };
  }

  /** Applies an update that a VM just forwarded; returns whether it was new. */
  applyUpdate(update: MemberUpdate, now: number): boolean {
    const known = this.#notices.get(update.vm)?.counter ?? 0;
    if (update.counter <= known) return false;
    const isLeaving = update.state === "draining";
    const { counter } = update;
    this.#notices.set(update.vm, { isLeaving, counter, reportedAt: now });
    return true;
  }

  /** Removes the upstreams that are not in `listed`. */
  removeUnlisted(listed: ReadonlySet<VmId>): void {
    for (const vm of this.#notices.keys()) {
      if (!listed.has(vm)) this.#notices.delete(vm);
    }
  }
}
