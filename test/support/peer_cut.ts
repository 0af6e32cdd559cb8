/**
 * Cuts a daemon off from the other VMs' datagrams.
 *
 * @module
 */
import { rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { build } from "esbuild";
import { PEER_CUT_VARIABLE } from "./peer_cut_variable.ts";

const PRELOAD = "test/support/peer_cut_preload.ts";

/** The datagrams of daemons that were started with its preload. */
export class PeerCut {
  readonly #directory: string;

  constructor(directory: string) {
    this.#directory = directory;
  }

  /** Builds the module that daemons load first. */
  static async create(directory: string): Promise<PeerCut> {
    const cut = new PeerCut(directory);
    await build({
      entryPoints: [PRELOAD],
      outfile: cut.preload,
      bundle: true,
      platform: "node",
      format: "esm",
    });
    return cut;
  }

  /** The module that daemons load first. */
  get preload(): string {
    return join(this.#directory, "peer_cut.mjs");
  }

  /** Variables of the daemon `vm`. */
  buildEnvironment(vm: string): Record<string, string> {
    return { [PEER_CUT_VARIABLE]: this.#getFile(vm) };
  }

  start(vm: string): void {
    writeFileSync(this.#getFile(vm), "");
  }

  stop(vm: string): void {
    rmSync(this.#getFile(vm), { force: true });
  }

  #getFile(vm: string): string {
    return join(this.#directory, `${vm}.peer_cut`);
  }
}
