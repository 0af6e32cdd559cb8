/**
 * What this VM believes of the other entry VMs, and what it says of itself.
 *
 * The rules are those of SWIM: a suspicion stands for a time in which the
 * suspect may refute it by a higher counter; then the VM counts as dead.
 *
 * @module
 */
import type { Incarnation, VmId } from "../ids.ts";
import type { Clock } from "./clock.ts";
import type { MemberUpdate, PeerIdentity } from "./peer_api.ts";

/** Stands for the life of a VM of which none is known by name. */
export const UNKNOWN_INCARNATION = "?" as Incarnation;

const STATE_ORDER = { alive: 0, suspect: 1, dead: 2 } as const;

type Liveness = keyof typeof STATE_ORDER;

interface Belief {
  incarnation: Incarnation;
  state: Liveness;
  /** Announced by the VM itself; it holds for the rest of its life. */
  draining: boolean;
  counter: number;
  suspectedAt: number;
}

/** What one VM tells of itself in each message. */
export interface SelfReport {
  from: PeerIdentity;
  counter: number;
  draining: boolean;
}

/** A table of beliefs; VMs without an entry count as alive. */
export class MemberStates {
  readonly #self: PeerIdentity;
  readonly #clock: Clock;
  readonly #onNews: (news: MemberUpdate) => void;
  readonly #beliefs = new Map<VmId, Belief>();
  #counter = 0;
  #draining = false;

  constructor(
    options: {
      self: PeerIdentity;
      clock: Clock;
      onNews: (news: MemberUpdate) => void;
    },
  ) {
    this.#self = options.self;
    this.#clock = options.clock;
    this.#onNews = options.onNews;
  }

  /** `onNews` gets each change of a belief, to be passed on. */
  static create(
    options: {
      self: PeerIdentity;
      clock: Clock;
      onNews: (news: MemberUpdate) => void;
    },
  ): MemberStates {
    return new MemberStates(options);
  }

  /** What this VM tells of itself. */
  getOwn(): SelfReport {
    return {
      from: this.#self,
      counter: this.#counter,
      draining: this.#draining,
    };
  }

  startDraining(): void {
    if (this.#draining) return;
    this.#draining = true;
    this.#announceOwn();
  }

  isDead(vm: VmId): boolean {
    return this.#beliefs.get(vm)?.state === "dead";
  }

  isDraining(vm: VmId): boolean {
    if (vm === this.#self.vm) return this.#draining;
    return this.#beliefs.get(vm)?.draining ?? false;
  }

  /** What is believed of `vm`, unless it simply counts as alive. */
  findDoubt(vm: VmId): MemberUpdate | undefined {
    const belief = this.#beliefs.get(vm);
    if (belief === undefined || belief.state === "alive") return undefined;
    return toNews(vm, belief);
  }

  /** Takes in what a VM said of itself just now. */
  noteContact(contact: SelfReport): void {
    const { vm, incarnation } = contact.from;
    if (vm === this.#self.vm) return;
    const belief = this.#beliefs.get(vm);
    // A late duplicate of an old message must not undo a newer belief, and a
    // doubt is cleared only by the counter that its refutation raised.
    const isSameLife = belief?.incarnation === incarnation;
    if (isSameLife && contact.counter <= belief.counter) return;
    const isOldNews = belief === undefined && !contact.draining &&
      contact.counter === 0;
    this.#put(vm, {
      incarnation,
      state: "alive",
      draining: contact.draining,
      counter: contact.counter,
      suspectedAt: 0,
    }, isOldNews);
  }

  /** Takes in what a third VM said. */
  noteNews(news: MemberUpdate): void {
    if (news.vm === this.#self.vm) this.#handleDoubt(news);
    else if (this.#isNewer(news)) this.#put(news.vm, this.#toBelief(news));
  }

  /** A probe of `vm`, direct and through others, got no answer. */
  noteSilence(vm: VmId): void {
    const belief = this.#beliefs.get(vm);
    if (belief === undefined) {
      // Nothing was ever heard of it, so there is no life to suspect by name.
      const incarnation = UNKNOWN_INCARNATION;
      this.#put(
        vm,
        this.#toBelief({
          vm,
          incarnation,
          state: "suspect",
          counter: 0,
        }),
      );
    } else if (belief.state === "alive") {
      this.#put(vm, {
        ...belief,
        state: "suspect",
        suspectedAt: this.#clock.now(),
      });
    }
  }

  /** Declares dead whom nobody cleared within `suspicionMs`. */
  applySuspicions(suspicionMs: number): VmId[] {
    const now = this.#clock.now();
    const dead: VmId[] = [];
    for (const [vm, belief] of this.#beliefs) {
      if (belief.state !== "suspect") continue;
      if (now - belief.suspectedAt < suspicionMs) continue;
      this.#put(vm, { ...belief, state: "dead" });
      dead.push(vm);
    }
    return dead;
  }

  /** Gives every suspect its whole time again, after a pause of this VM. */
  resumeSuspicions(): void {
    for (const belief of this.#beliefs.values()) {
      belief.suspectedAt = this.#clock.now();
    }
  }

  /** Forgets the VMs that are not in `listed`. */
  removeUnlisted(listed: ReadonlySet<VmId>): void {
    for (const vm of this.#beliefs.keys()) {
      if (!listed.has(vm)) this.#beliefs.delete(vm);
    }
  }

  #handleDoubt(news: MemberUpdate): void {
    const isOwnLife = news.incarnation === this.#self.incarnation ||
      news.incarnation === UNKNOWN_INCARNATION;
    const isDoubt = news.state === "suspect" || news.state === "dead";
    if (!isOwnLife || !isDoubt || news.counter < this.#counter) return;
    this.#counter = news.counter;
    this.#announceOwn();
  }

  #announceOwn(): void {
    this.#counter += 1;
    this.#onNews({
      ...this.#self,
      state: this.#draining ? "draining" : "alive",
      counter: this.#counter,
    });
  }

  #isNewer(news: MemberUpdate): boolean {
    const belief = this.#beliefs.get(news.vm);
    if (belief === undefined) return true;
    const state = toLiveness(news);
    if (belief.incarnation === news.incarnation) {
      if (news.counter !== belief.counter) {
        return news.counter > belief.counter;
      }
      if (STATE_ORDER[state] !== STATE_ORDER[belief.state]) {
        return STATE_ORDER[state] > STATE_ORDER[belief.state];
      }
      return news.state === "draining" && !belief.draining;
    }
    // Lives cannot be ordered by their names. Doubt about another life says
    // nothing of the one known; word of another life counts where the one
    // known is in doubt. Else the VM's own next message decides.
    return state === "alive" && belief.state !== "alive";
  }

  #toBelief(news: MemberUpdate): Belief {
    const known = this.#beliefs.get(news.vm);
    const isSameLife = known?.incarnation === news.incarnation;
    return {
      incarnation: news.incarnation,
      state: toLiveness(news),
      draining: news.state === "draining" || (isSameLife && known.draining),
      counter: news.counter,
      suspectedAt: this.#clock.now(),
    };
  }

  #put(vm: VmId, belief: Belief, isOldNews = false): void {
    this.#beliefs.set(vm, belief);
    if (!isOldNews) this.#onNews(toNews(vm, belief));
  }
}

function toLiveness(news: MemberUpdate): Liveness {
  return news.state === "draining" ? "alive" : news.state;
}

function toNews(vm: VmId, belief: Belief): MemberUpdate {
  const isDraining = belief.state === "alive" && belief.draining;
  return {
    vm,
    incarnation: belief.incarnation,
    state: isDraining ? "draining" : belief.state,
    counter: belief.counter,
  };
}
