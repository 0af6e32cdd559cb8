/**
 * What upstreams say of themselves before the published list does.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import { UNKNOWN_INCARNATION } from "./member_states.ts";
import type { MemberUpdate } from "./peer_api.ts";

interface Word {
  isLeaving: boolean;
  counter: number;
  /** `Clock.now()` when it was said; a report is older than an answer. */
  saidAt: number;
}

/** Each upstream's last word, passed on as news with a counter. */
export class UpstreamNotices {
  readonly #words = new Map<VmId, Word>();

  static create(): UpstreamNotices {
    return new UpstreamNotices();
  }

  isLeaving(vm: VmId): boolean {
    return this.#words.get(vm)?.isLeaving ?? false;
  }

  /**
   * Takes in the upstream's own word; gives the news where it is new. What it
   * said before its last word changes nothing.
   */
  noteWord(
    vm: VmId,
    isLeaving: boolean,
    saidAt: number,
  ): MemberUpdate | undefined {
    const known = this.#words.get(vm);
    if (known !== undefined && saidAt < known.saidAt) return undefined;
    if (known !== undefined) known.saidAt = saidAt;
    if (this.isLeaving(vm) === isLeaving) return undefined;
    const counter = (known?.counter ?? 0) + 1;
    this.#words.set(vm, { isLeaving, counter, saidAt });
    const state = isLeaving ? "draining" : "alive";
    return { vm, incarnation: UNKNOWN_INCARNATION, state, counter };
  }

  /** Takes in what a VM passed on just now; returns whether it was new. */
  noteNews(news: MemberUpdate, now: number): boolean {
    const known = this.#words.get(news.vm)?.counter ?? 0;
    if (news.counter <= known) return false;
    const isLeaving = news.state === "draining";
    const { counter } = news;
    this.#words.set(news.vm, { isLeaving, counter, saidAt: now });
    return true;
  }

  /** Forgets the upstreams that are not in `listed`. */
  removeUnlisted(listed: ReadonlySet<VmId>): void {
    for (const vm of this.#words.keys()) {
      if (!listed.has(vm)) this.#words.delete(vm);
    }
  }
}
