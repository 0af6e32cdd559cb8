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
  ClassFigures,
  type ClassReport,
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

const PROGRESS_MS = 1_000;
/** Times between arrivals are exponential, cut off at so many means. */
const MAX_GAP_MEANS = 10;

/** Bounds that no option can pass. */
export const LOAD_CAPS = { rate: 1_000, seconds: 3_600, concurrency: 2_000 };

/** What to send, and how much of it. */
export interface LoadOptions {
  /** The callers' listener of any entry VM. */
  url: URL;
  key: string;
  classes: string[];
  model: string;
  /** Requests a second, all classes together. */
  rate: number;
  seconds: number;
  /** Open requests; arrivals past it are counted and not sent. */
  concurrency: number;
  maxTokens: number;
  promptWords: number;
  silenceMs: number;
  ca?: string | undefined;
  /** Targets by class come from here. */
  records?: Snapshot | undefined;
}

/** Runs a load; exit code 1 where any request broke. */
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
  readonly #figures: ClassFigures[];
  readonly #agent: HttpAgent | HttpsAgent;
  readonly #stop = new AbortController();
  readonly #open = new Set<Promise<void>>();
  #entries: URL[] = [];
  #entriesUntil = 0;
  #sent = 0;

  constructor(context: ToolContext, options: LoadOptions) {
    this.#context = context;
    this.#options = options;
    this.#figures = options.classes.map((name) =>
      ClassFigures.create(name, findTargets(options.records, name))
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
      await Promise.all(this.#open);
      this.#stop.abort();
      await progress;
    } finally {
      this.#agent.destroy();
    }
    const seconds = toSeconds(clock.now() - startedAt);
    return this.#figures.map((figures) => figures.toJson(seconds));
  }

  async #sendAll(startedAt: number): Promise<void> {
    const { clock } = this.#context;
    const { seconds, rate } = this.#options;
    const endAt = startedAt + seconds * 1_000;
    let nextAt = startedAt;
    while (nextAt < endAt) {
      // Arrivals keep to their plan whatever the answers do; a load that
      // waited for answers would hide that the system is slow.
      const waitMs = nextAt - clock.now();
      if (waitMs > 0) await clock.sleep(waitMs);
      this.#renewEntries();
      this.#sendOne();
      nextAt += this.#pickGap(1_000 / rate);
    }
  }

  #pickGap(meanMs: number): number {
    const gap = -Math.log(1 - this.#context.random.next()) * meanMs;
    return Math.min(gap, MAX_GAP_MEANS * meanMs);
  }

  #sendOne(): void {
    const figures = this.#figures[this.#sent % this.#figures.length]!;
    const entry = this.#entries[this.#sent % this.#entries.length]!;
    this.#sent++;
    if (this.#open.size >= this.#options.concurrency) {
      figures.record({ kind: "not_sent", tokens: 0 });
      return;
    }
    const task = this.#runOne(figures, entry);
    this.#open.add(task);
    void task.finally(() => this.#open.delete(task));
  }

  async #runOne(figures: ClassFigures, entry: URL): Promise<void> {
    const { key, model, maxTokens, silenceMs, ca } = this.#options;
    figures.record(
      await runLoadRequest(this.#context.clock, {
        url: entry,
        key,
        model,
        maxTokens,
        silenceMs,
        ca,
        className: figures.className,
        prompt: this.#buildPrompt(),
        agent: this.#agent,
      }),
    );
  }

  /** Words that differ from request to request, so that no cache helps. */
  #buildPrompt(): string {
    const { random } = this.#context;
    return Array.from(
      { length: this.#options.promptWords },
      () => random.nextHex(5),
    ).join(" ");
  }

  /** Asks where callers should connect. Rejects with a `ToolError`. */
  async #fetchEntries(): Promise<void> {
    const { url, ca } = this.#options;
    const client = VmClient.create({ url, ca });
    const answer = await client.fetch("/v1/entries", ENTRIES_ANSWER);
    if (answer.entries.length === 0) {
      throw new ToolError("The VM knows no entry that callers could use", {
        exitCode: EXIT_UNREACHABLE,
        step: "fetch_entries",
        peer: url.host,
      });
    }
    this.#entries = answer.entries.map((entry) => toEntryUrl(url, entry));
    this.#entriesUntil = this.#context.clock.now() + answer.ttl_ms;
  }

  /**
   * Asks again once the answer is old, beside the arrivals: waiting for a VM
   * that is gone would hold them up, and the load would look lighter.
   */
  #renewEntries(): void {
    const { clock } = this.#context;
    if (clock.now() < this.#entriesUntil) return;
    this.#entriesUntil = Infinity;
    this.#fetchEntries().catch(() => {
      // The known entries still serve.
      this.#entriesUntil = clock.now() + PROGRESS_MS;
    });
  }

  async #printProgress(startedAt: number): Promise<void> {
    const { clock, terminal } = this.#context;
    if (!terminal.isInteractive) return;
    while (!this.#stop.signal.aborted) {
      const ended = this.#figures.reduce((sum, one) => sum + one.ended, 0);
      const seconds = Math.round(toSeconds(clock.now() - startedAt));
      terminal.writeError(
        `\r${seconds} of ${this.#options.seconds} s: ${ended} ended, ` +
          `${this.#open.size} open   `,
      );
      await clock.sleep(PROGRESS_MS, this.#stop.signal);
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
