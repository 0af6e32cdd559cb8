/**
 * Restorations of the store from older copies, as one VM knows of them.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import { formatNames } from "../format_names.ts";
import type { Log } from "../log.ts";
import { getEra } from "../placement/list_position.ts";
import type {
  ListedReplica,
  ReplicaDirectory,
  ReplicaList,
} from "../placement/replica_list.ts";
import { EarlierEra, type KeptNews } from "./earlier_era.ts";

/** Options of `Restorations`. */
export interface RestorationsOptions {
  clock: Clock;
  log: Log;
  replicas: ReplicaDirectory;
  /** Interval at which replicas renew their entries. */
  entryRenewalMs: number;
  /** Called when other replicas are withheld than before. */
  onWithheld: () => void;
}

/** The first list of an era, which the directory has, and those before. */
export interface Restoration {
  before: ReplicaList;
  /** Replicas that had left, or had begun to. */
  left: readonly ListedReplica[];
  /** The VM that gave the list, or `store`. */
  from: string;
}

/** Withholds replicas and data centres by what was known before. */
export class Restorations {
  readonly #options: RestorationsOptions;
  readonly #earlierEra: EarlierEra;
  #count = 0;

  constructor(options: RestorationsOptions) {
    this.#options = options;
    this.#earlierEra = EarlierEra.create({
      ...options,
      onEnd: () => this.#updateWithheld(),
    });
  }

  static create(options: RestorationsOptions): Restorations {
    return new Restorations(options);
  }

  stop(): void {
    this.#earlierEra.stop();
  }

  /** Restorations since the start of this process. */
  get count(): number {
    return this.#count;
  }

  /** Keeps what the copy contradicts that the store was restored from. */
  noteRestored({ before, left, from }: Restoration): void {
    const { replicas, log } = this.#options;
    const after = replicas.getList();
    this.#count += 1;
    this.#earlierEra.noteRestored({ before, after, left });
    const withheld = this.#earlierEra.getWithheld();
    replicas.setWithheld(withheld);
    log.warn("store_restored", {
      era: getEra(after),
      revision: after.revision,
      from,
      known_era: getEra(before),
      known_revision: before.revision,
      withheld: formatNames(withheld.replicas),
      evacuated: formatNames(withheld.dataCentres),
      retained: after.replicas.filter(({ isRetained }) => isRetained).length,
    });
  }

  /** Records a newer list of the same era. */
  noteList(list: ReplicaList): void {
    if (this.#earlierEra.noteList(list)) this.#updateWithheld();
  }

  /** Records that the store has an older configuration than is in force. */
  noteOperatorBehind(): void {
    this.#earlierEra.noteOperatorBehind();
  }

  /** Applies what another VM keeps. */
  noteTold(news: KeptNews): void {
    if (this.#earlierEra.noteTold(news)) this.#updateWithheld();
  }

  /** What this VM keeps, for other VMs. */
  buildNews(): Required<KeptNews> {
    return this.#earlierEra.buildNews();
  }

  #updateWithheld(): void {
    const { replicas, onWithheld } = this.#options;
    replicas.setWithheld(this.#earlierEra.getWithheld());
    onWithheld();
  }
}
