/**
 * Cuts the links of daemons to all replicas, and records when.
 *
 * @module
 */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "esbuild";
import type { LinkCut } from "../support/cuttable_links.ts";
import { LINKS_FILE_VARIABLE, STORE_PORT_VARIABLE } from "./link_variables.ts";

const PRELOAD = "test/soak/cut_links_preload.ts";
/** Callers of cut VMs must be served from this long after the cut began. */
const STABLE_WINDOW_MS = 3_000;
/** They are served too rarely below this share of what others are. */
const MIN_SERVED_SHARE = 2 / 3;
const MAX_FAILED = 10;
const MAX_FAILED_SHARE = 1 / 50;

/** A request of a caller; times by `performance.now()`. */
export interface ObservedRequest {
  vm: string;
  sentAt: number;
  isServed: boolean;
  /** Whether the VM was paused, ended or started around it. */
  isDisturbed: boolean;
}

/** VMs that lost their links to all replicas; times as above. */
export interface RecordedCut {
  vms: ReadonlySet<string>;
  how: LinkCut;
  from: number;
  to: number;
}

/** Controls the links of all daemons of a soak. */
export class LinkControl {
  readonly cuts: RecordedCut[] = [];
  readonly #directory: string;
  readonly #cutBy = new Map<string, number>();

  constructor(directory: string) {
    this.#directory = directory;
  }

  /** Builds the module that daemons load first. */
  static async create(directory: string): Promise<LinkControl> {
    const control = new LinkControl(directory);
    await build({
      entryPoints: [PRELOAD],
      outfile: control.preload,
      bundle: true,
      platform: "node",
      format: "esm",
    });
    return control;
  }

  /** The module that daemons load first. */
  get preload(): string {
    return join(this.#directory, "cut_links.mjs");
  }

  /** Variables of the daemon `vm`, whose links are whole. */
  buildEnvironment(vm: string, storePort: number): Record<string, string> {
    if (!this.#cutBy.has(vm)) this.#write(vm, "");
    return {
      [LINKS_FILE_VARIABLE]: this.#getFile(vm),
      [STORE_PORT_VARIABLE]: String(storePort),
    };
  }

  /** Cuts the links of `vms`; resolves when they are whole again. */
  async cut(vms: readonly string[], how: LinkCut, ms: number): Promise<void> {
    const number = this.cuts.length;
    const from = performance.now();
    this.cuts.push({ vms: new Set(vms), how, from, to: from + ms });
    for (const vm of vms) {
      this.#cutBy.set(vm, number);
      this.#write(vm, how);
    }
    await sleep(ms);
    for (const vm of vms) {
      // A later cut of the same VM goes on.
      if (this.#cutBy.get(vm) === number) this.#write(vm, "");
    }
  }

  #write(vm: string, text: string): void {
    writeFileSync(this.#getFile(vm), text);
  }

  #getFile(vm: string): string {
    return join(this.#directory, `${vm}.links`);
  }
}

/**
 * Describes each cut under which callers of the VMs concerned were served far
 * worse than those of the others.
 */
export function listBadCuts(
  cuts: readonly RecordedCut[],
  requests: readonly ObservedRequest[],
): string[] {
  return cuts.flatMap((cut) => {
    const { from, to, vms, how } = cut;
    const during = requests.filter(({ sentAt, vm, isDisturbed }) =>
      sentAt >= from + STABLE_WINDOW_MS && sentAt < to && !isDisturbed &&
      !isCutElsewhere(cut, cuts, vm)
    );
    const atCut = during.filter(({ vm }) => vms.has(vm));
    const atOthers = during.filter(({ vm }) => !vms.has(vm));
    const cutServed = countServed(atCut);
    const failed = atCut.length - cutServed;
    const isFew = cutServed * atOthers.length <
      MIN_SERVED_SHARE * countServed(atOthers) * atCut.length;
    if (!isFew || failed <= MAX_FAILED + MAX_FAILED_SHARE * during.length) {
      return [];
    }
    return [
      `${vms.size} VMs cut (${how}) served ${cutServed} of ${atCut.length}, ` +
      `the others ${countServed(atOthers)} of ${atOthers.length}`,
    ];
  });
}

/** Whether another cut that overlaps with this one concerns the VM. */
function isCutElsewhere(
  cut: RecordedCut,
  cuts: readonly RecordedCut[],
  vm: string,
): boolean {
  return cuts.some((other) =>
    other !== cut && other.vms.has(vm) && other.from < cut.to &&
    other.to > cut.from
  );
}

function countServed(requests: readonly ObservedRequest[]): number {
  return requests.filter(({ isServed }) => isServed).length;
}
