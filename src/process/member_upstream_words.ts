/**
 * What upstreams say of themselves before the published list does.
 *
 * @module
 */
import type { VmId } from "../ids.ts";
import { UNKNOWN_INCARNATION } from "./member_beliefs.ts";
import type { MemberNews } from "./peer_api.ts";

interface Word {
  isLeaving: boolean;
  counter: number;
}

/** Each upstream's last word, passed on as news with a counter. */
export class UpstreamWords {
  readonly #words = new Map<VmId, Word>();

  static create(): UpstreamWords {
    return new UpstreamWords();
  }

  isLeaving(vm: VmId): boolean {
    return this.#words.get(vm)?.isLeaving ?? false;
  }

  /** Takes in the upstream's own word; gives the news where it is new. */
  noteWord(vm: VmId, isLeaving: boolean): MemberNews | undefined {
    if (this.isLeaving(vm) === isLeaving) return undefined;
    const counter = (this.#words.get(vm)?.counter ?? 0) + 1;
    this.#words.set(vm, { isLeaving, counter });
    const state = isLeaving ? "draining" : "alive";
    return { vm, incarnation: UNKNOWN_INCARNATION, state, counter };
  }

  /** Takes in what a VM passed on; returns whether it was new. */
  noteNews(news: MemberNews): boolean {
    const known = this.#words.get(news.vm)?.counter ?? 0;
    if (news.counter <= known) return false;
    const isLeaving = news.state === "draining";
    this.#words.set(news.vm, { isLeaving, counter: news.counter });
    return true;
  }

  /** Forgets the upstreams that are not in `listed`. */
  removeUnlisted(listed: ReadonlySet<VmId>): void {
    for (const vm of this.#words.keys()) {
      if (!listed.has(vm)) this.#words.delete(vm);
    }
  }
}
