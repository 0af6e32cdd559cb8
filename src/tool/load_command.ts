/**
 * `persimmonslip load`: a load of bounded rate, length and concurrency.
 *
 * @module
 */
import type { SocketAddress } from "../connection/endpoint.ts";
import { Agent as HttpAgent } from "node:http";
import { Agent as HttpsAgent } from "node:https";
import type { Snapshot } from "../version/index.ts";
import {
  type ClassReport,
  ClassStats,
  type LoadTargets,
  renderLoadReport,
  toSeconds,
} from "./load_report.ts";
import { runLoadRequest } from "./load_request.ts";
import { ENTRIES_ANSWER } from "./operator_answers.ts";
import type { ToolContext, ToolResult } from "./terminal.ts";
import {
  EXIT_FINDING,
  EXIT_OK,
  EXIT_UNREACHABLE,
  ToolError,
} from "./tool_error.ts";
import { VmClient } from "./vm_client.ts";

const PROGRESS_INTERVAL_MS = 1_000;
/**
 * Upper limit of the exponential inter-arrival times, in multiples of the mean.
 */
const MAX_GAP_IN_MEANS = 10;

/** Upper limits of the options. */
export const LOAD_CAPS = { rate: 1_000, seconds: 3_600, concurrency: 2_000 };

/** Parameters of a load run. */
export interface LoadOptions {
  /** The callers' listener of any entry VM. */
  url: URL;
  key: string;
  classes: string[];
  model: string;
  /** Requests per second over all classes. */
  rate: number;
  seconds: number;
  /** Maximum requests in flight; arrivals beyond it are counted, not sent. */
  concurrency: number;
  maxTokens: number;
  promptWords: number;
  idleTimeoutMs: number;
  ca?: string | undefined;
  /** Records with the targets of the classes. */
  records?: Snapshot | undefined;
}

/** Runs a load; exit code 1 if any request was broken. */
export async function runLoad(
  context: ToolContext,
  options: LoadOptions,
): Promise<ToolResult> {
  const run = new LoadRun(context, options);
  const reports = await run.run();
  const hasBroken = reports.some(({ broken }) => broken > 0);
  return {
    text: renderLoadReport(reports),
    json: {
      rate: options.rate,
      seconds: options.seconds,
      concurrency: options.concurrency,
      classes: reports,
    },
    exitCode: hasBroken ? EXIT_FINDING : EXIT_OK,
  };
}

class LoadRun {
  readonly #context: ToolContext;
  readonly #options: LoadOptions;
  readonly #classStats: ClassStats[];
  readonly #agent: HttpAgent | HttpsAgent;
  readonly #stop = new AbortController();
  readonly #inFlight = new Set<Promise<void>>();
  #entries: URL[] = [];
  #entriesExpireAt = 0;
  #sent = 0;

  constructor(context: ToolContext, options: LoadOptions) {
    this.#context = context;
    this.#options = options;
    this.#classStats = options.classes.map((name) =>
      ClassStats.create(name, findTargets(options.records, name))
    );
    const settings = { keepAlive: true, maxSockets: options.concurrency };
    this.#agent = options.url.protocol === "https:"
      ? new HttpsAgent(settings)
      : new HttpAgent(settings);
  }

  async run(): Promise<ClassReport[]> {
    const { clock } = this.#context;
    const startedAt = clock.now();
    try {
      await this.#fetchEntries();
      const progress = this.#printProgress(startedAt);
      await this.#sendAll(startedAt);
      await Promise.all(this.#inFlight);
      this.#stop.abort();
      await progress;
    } finally {
      this.#agent.destroy();
    }
    const seconds = toSeconds(clock.now() - startedAt);
    return this.#classStats.map((stats) => stats.toJson(seconds));
  }

  async #sendAll(startedAt: number): Promise<void> {
    const { clock } = this.#context;
    const { seconds, rate } = this.#options;
    const endAt = startedAt + seconds * 1_000;
    let nextAt = startedAt;
    while (nextAt < endAt) {
      // Open-loop load: arrivals follow their schedule regardless of answers.
      // Waiting for answers would hide that the system is slow.
      const waitMs = nextAt - clock.now();
      if (waitMs > 0) await clock.sleep(waitMs);
      this.#renewEntries();
      this.#sendOne();
      nextAt += this.#pickArrivalGapMs(1_000 / rate);
    }
  }

  #pickArrivalGapMs(meanMs: number): number {
    const gap = -Math.log(1 - this.#context.random.next()) * meanMs;
    return Math.min(gap, MAX_GAP_IN_MEANS * meanMs);
  }

  #sendOne(): void {
    const stats = this.#classStats[this.#sent % this.#classStats.length]!;
    const entry = this.#entries[this.#sent % this.#entries.length]!;
    this.#sent++;
    if (this.#inFlight.size >= this.#options.concurrency) {
      stats.record({ kind: "not_sent", tokens: 0 });
      return;
    }
    const task = this.#runOne(stats, entry);
    this.#inFlight.add(task);
    void task.finally(() => this.#inFlight.delete(task));
  }

  async #runOne(stats: ClassStats, entry: URL): Promise<void> {
    const { key, model, maxTokens, idleTimeoutMs, ca } = this.#options;
    stats.record(
      await runLoadRequest(this.#context.clock, {
        url: entry,
        key,
        model,
        maxTokens,
        idleTimeoutMs,
        ca,
        className: stats.className,
        prompt: this.#buildPrompt(),
        agent: this.#agent,
      }),
    );
  }

  /** Random words, so that no request benefits from a prefix cache. */
  #buildPrompt(): string {
    const { random } = this.#context;
    return Array.from(
      { length: this.#options.promptWords },
      () => random.nextHex(5),
    ).join(" ");
  }

  /** Fetches the addresses of entry VMs. Rejects with a `ToolError`. */
  async #fetchEntries(): Promise<void> {
    const { url, ca } = this.#options;
    const client = VmClient.create({ url, ca });
    const answer = await client.fetch("/v1/entries", ENTRIES_ANSWER);
    if (answer.entries.length === 0) {
      throw new ToolError("The VM listed no entry VMs for callers", {
        exitCode: EXIT_UNREACHABLE,
        step: "fetch_entries",
        peer: url.host,
      });
    }
    this.#entries = answer.entries.map((entry) => toEntryUrl(url, entry));
    this.#entriesExpireAt = this.#context.clock.now() + answer.ttl_ms;
  }

  /**
   * Refreshes expired entry addresses in the background. Waiting for the answer
   * of a failed VM would delay arrivals and reduce the load.
   */
  #renewEntries(): void {
    const { clock } = this.#context;
    if (clock.now() < this.#entriesExpireAt) return;
    this.#entriesExpireAt = Infinity;
    this.#fetchEntries().catch(() => {
      // Keeps using the known entries until the next attempt.
      this.#entriesExpireAt = clock.now() + PROGRESS_INTERVAL_MS;
    });
  }

  async #printProgress(startedAt: number): Promise<void> {
    const { clock, terminal } = this.#context;
    if (!terminal.isInteractive) return;
    while (!this.#stop.signal.aborted) {
      const ended = this.#classStats.reduce((sum, one) => sum + one.ended, 0);
      const seconds = Math.round(toSeconds(clock.now() - startedAt));
      terminal.writeError(
        `\r${seconds} of ${this.#options.seconds} s: ${ended} ended, ` +
          `${this.#inFlight.size} open   `,
      );
      await clock.sleep(PROGRESS_INTERVAL_MS, this.#stop.signal);
    }
    terminal.writeError("\n");
  }
}

function toEntryUrl(
  url: URL,
  entry: SocketAddress,
): URL {
  const host = entry.address.includes(":")
    ? `[${entry.address}]`
    : entry.address;
  return new URL(`${url.protocol}//${host}:${entry.port}`);
}

function findTargets(
  records: Snapshot | undefined,
  className: string,
): LoadTargets | undefined {
  for (const requestClass of records?.classes.values() ?? []) {
    if (requestClass.name === className) return requestClass.targets;
  }
  return undefined;
}
