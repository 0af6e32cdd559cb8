/**
 * In-memory stand-in for the platform's store, with failure modes.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import {
  HttpStandIn,
  sendJson,
  type StandInCall,
} from "../../standin/http_stand_in.ts";

interface Change {
  key: string;
  revision: number;
  value: string | undefined;
}

interface View {
  items: Map<string, Change>;
  revision: number;
}

/** What the store held at a moment, to be restored later. */
export interface StoreCopy {
  items: ReadonlyMap<string, Change>;
  revision: number;
}

/** The store's failure mode; calls that are held are answered afterwards. */
export type StoreMode =
  | "up"
  | "busy"
  | "limited"
  | "reset"
  | "silent"
  | "held"
  /** Answers each call without end. */
  | "endless";

/**
 * How watches that hear nothing end after their wait: without a change at the
 * revision asked for, without one at the store's own revision, or not at all.
 */
export type DeafnessKind = "asked_revision" | "newest_revision" | "unanswered";

const HELD_CHECK_MS = 2;

const REFUSED_STATUS = { busy: 503, limited: 429 };

const WATCH_PATH = "/api/kv-watch";
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const ENDLESS_CHUNK = "[1,".repeat(20_000);

/** The store's HTTP server. */
export class StoreStandIn extends HttpStandIn {
  mode: StoreMode = "up";
  /** Paths of all calls, refused ones included. */
  readonly calls: string[] = [];
  /** Whether watches tell of changes; those made meanwhile are left out. */
  tellsChanges = true;
  /** Counts the copies that were restored; sent with each answer. */
  era = 1;
  /** Whether answers carry the era. */
  sendsEra = true;
  /** Whether watches find any history; without, each of them gets 410. */
  hasHistory = true;
  /** Whether reads, other than watches, get 429. */
  refusesReads = false;
  /** Pages of a range hold at most this many items. */
  pageItems = PAGE_ITEMS;
  /** Called after each page of a range that has more. */
  onPage: () => void = () => {};
  /** Number of reads that allowed stale answers. */
  staleReads = 0;
  readonly #items = new Map<string, Change>();
  readonly #history: Change[] = [];
  #oldView: View | undefined;
  #revision = 1;
  #oldest = 1;
  #waiting: (() => void)[] = [];
  /** How many watches still leave the changes of a key out. */
  readonly #leftOut = new Map<string, number>();
  /** Set while watches hear of no change. */
  #deafness: DeafnessKind | undefined;

  static create(): StoreStandIn {
    return new StoreStandIn();
  }

  put(key: string, value: unknown): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#add(key, text);
  }

  /** Puts a value that may be invalid JSON or invalid base64. */
  putBase64(key: string, base64: string): void {
    this.#add(key, base64);
  }

  remove(key: string): void {
    this.#add(key, undefined);
  }

  /** The next so many watches that would tell a change of a key do not. */
  silenceKey(key: string, watches: number): void {
    this.#leftOut.set(key, watches);
  }

  /** Drops the history and wakes all watches; those that lag behind get 410. */
  dropHistory(): void {
    this.#oldest = this.#revision + 1;
    this.#revision += 1;
    this.#history.length = 0;
    this.#flushWaiting();
  }

  takeCopy(): StoreCopy {
    return { items: new Map(this.#items), revision: this.#revision };
  }

  /**
   * Goes on from a copy, as if what came after it had never been written: its
   * revisions are given out again. Watches from one of these get 410.
   */
  applyCopy({ items, revision }: StoreCopy): void {
    this.era += 1;
    this.#items.clear();
    for (const [key, item] of items) this.#items.set(key, item);
    this.#revision = revision;
    this.#oldest = Math.min(this.#oldest, revision + 1);
    const known = this.#history.filter((each) => each.revision <= revision);
    this.#history.splice(0, Infinity, ...known);
    this.#flushWaiting();
  }

  /** The revision of the last change. */
  get revision(): number {
    return this.#revision;
  }

  /** Until `endDeafness`, watches hear of no change. */
  startDeafness(kind: DeafnessKind = "asked_revision"): void {
    this.#deafness = kind;
  }

  /** Drops the history and cuts all connections, and with them all watches. */
  endDeafness(): void {
    this.#deafness = undefined;
    this.destroyConnections();
    this.dropHistory();
  }

  protected override async handleCall(
    call: StandInCall,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(call.path, "http://store");
    this.calls.push(url.pathname);
    await this.#waitWhileHeld();
    if (this.mode === "silent") return;
    if (this.mode === "endless") {
      sendEndless(response);
      return;
    }
    if (this.mode === "reset") {
      response.destroy();
      return;
    }
    if (this.mode === "busy" || this.mode === "limited") {
      this.#send(response, REFUSED_STATUS[this.mode]);
      return;
    }
    if (this.refusesReads && url.pathname !== WATCH_PATH) {
      this.#send(response, REFUSED_STATUS.limited);
      return;
    }
    const { searchParams } = url;
    const isStaleAllowed = searchParams.get("allow-stale") === "1";
    if (isStaleAllowed) this.staleReads += 1;
    switch (url.pathname) {
      case "/api/kv-key":
        this.#answerKey(searchParams.get("key")!, response, isStaleAllowed);
        return;
      case "/api/kv-range":
        this.#answerRange(searchParams, response, isStaleAllowed);
        return;
      case WATCH_PATH:
        await this.#answerWatch(searchParams, response);
        return;
    }
    this.#send(response, 404);
  }

  #send(response: ServerResponse, status: number, body: unknown = {}): void {
    const headers: Record<string, string> = this.sendsEra
      ? { "store-era": String(this.era) }
      : {};
    sendJson(response, { status, body, headers });
  }

  #add(key: string, value: string | undefined): void {
    this.#revision += 1;
    const change = { key, value, revision: this.#revision };
    if (value === undefined) this.#items.delete(key);
    else this.#items.set(key, change);
    if (!this.tellsChanges) return;
    this.#history.push(change);
    this.#flushWaiting();
  }

  #flushWaiting(): void {
    if (this.#deafness !== undefined) return;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((wake) => wake());
  }

  #answerKey(
    key: string,
    response: ServerResponse,
    isStaleAllowed: boolean,
  ): void {
    const { items, revision } = this.#pickView(isStaleAllowed);
    const item = items.get(key);
    if (item === undefined) {
      this.#send(response, 404);
      return;
    }
    const body = { ...item, "store-revision": revision };
    this.#send(response, 200, body);
  }

  /** The current items, or those at the first read that allowed stale ones. */
  #pickView(isStaleAllowed: boolean): View {
    const now = { items: this.#items, revision: this.#revision };
    if (!isStaleAllowed) return now;
    this.#oldView ??= { items: new Map(now.items), revision: now.revision };
    return this.#oldView;
  }

  #answerRange(
    query: URLSearchParams,
    response: ServerResponse,
    isStaleAllowed: boolean,
  ): void {
    const view = this.#pickView(isStaleAllowed);
    const prefix = query.get("prefix")!;
    const after = query.get("after") ?? "";
    const rest = [...view.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => one.key < other.key ? -1 : 1);
    const items = takePage(rest, this.pageItems);
    const body = {
      items,
      "more-pages": items.length < rest.length,
      "store-revision": view.revision,
    };
    this.#send(response, 200, body);
    if (items.length < rest.length) this.onPage();
  }

  async #answerWatch(
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const after = Number(query.get("after"));
    if (after > this.#revision || !this.hasHistory) {
      this.#send(response, 410);
      return;
    }
    const isNewest = after === this.#revision;
    const isDeaf = this.#deafness !== undefined;
    if (after + 1 >= this.#oldest && (isNewest || isDeaf)) {
      await this.#waitForChange(Number(query.get("wait-ms")));
    }
    await this.#waitWhileHeld();
    if (this.mode !== "up") {
      response.destroy();
      return;
    }
    if (after + 1 < this.#oldest || after > this.#revision) {
      this.#send(response, 410);
      return;
    }
    if (this.#deafness === "unanswered") return;
    if (this.#deafness !== undefined) {
      const isNewest = this.#deafness === "newest_revision";
      const revision = isNewest ? this.#revision : after;
      const body = { events: [], "store-revision": revision };
      this.#send(response, 200, body);
      return;
    }
    const events = this.#takeToldChanges(after)
      .map((change) =>
        change.value === undefined ? { ...change, deleted: true } : change
      );
    const body = { events, "store-revision": this.#revision };
    this.#send(response, 200, body);
  }

  /** The changes after a revision that a watch tells. */
  #takeToldChanges(after: number): Change[] {
    const changes = this.#history.filter(({ revision }) => revision > after);
    const leftOut = new Set<string>();
    for (const { key } of changes) {
      const watches = this.#leftOut.get(key) ?? 0;
      if (watches === 0 || leftOut.has(key)) continue;
      leftOut.add(key);
      this.#leftOut.set(key, watches - 1);
    }
    return changes.filter(({ key }) => !leftOut.has(key));
  }

  async #waitWhileHeld(): Promise<void> {
    while (this.mode === "held") await sleep(HELD_CHECK_MS);
  }

  #waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#waiting.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

function sendEndless(response: ServerResponse): void {
  response.writeHead(200, { "content-type": "application/json" });
  const sendOn = () => {
    if (response.destroyed) return;
    if (response.write(ENDLESS_CHUNK)) setImmediate(sendOn);
    else response.once("drain", sendOn);
  };
  sendOn();
}

/** The first items: one at least, and as many as fit into a page. */
function takePage(items: readonly Change[], maxItems: number): Change[] {
  let size = 0;
  const end = items.findIndex(({ value = "" }, index) => {
    size += value.length;
    return index > 0 && (index >= maxItems || size > PAGE_BYTES);
  });
  return end === -1 ? [...items] : items.slice(0, end);
}
