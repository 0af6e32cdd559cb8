/**
 * The demo's load: the requests that a user's callers send and the answers that
 * they expect.
 *
 * @module
 */
import { SeededRandom } from "../src/process/random.ts";
import { EngineAnswer } from "../standin/engine_answer.ts";
import { formatChatPrompt } from "../standin/engine_body.ts";
import { buildLookupBody } from "../standin/service_core.ts";
import {
  type Example,
  type ExampleRecord,
  formatDemoKey,
  listRecords,
} from "./example_records.ts";

const SEED = 20_26;
const ABORT_AFTER_BYTES = 300;

/** Load of one request class. */
interface ClassProfile {
  className: string;
  /** Requests per second. */
  rate: number;
  /** A post must not be repeated; chats and look-ups may. */
  kind: "chat" | "lookup" | "post";
  /** Length of a chat's prompt in characters. */
  promptLength?: number;
  /** Length of a chat's answer in tokens. */
  tokens?: number;
  /** Path of a post at the service. */
  path?: string;
}

/** The classes of each user, by the name of its example. */
const PROFILES: Record<string, readonly ClassProfile[]> = {
  lectura_llana: [
    {
      className: "adaptation",
      rate: 5,
      kind: "chat",
      promptLength: 6_000,
      tokens: 150,
    },
    {
      className: "glossary",
      rate: 8,
      kind: "chat",
      promptLength: 200,
      tokens: 25,
    },
    { className: "portal_read", rate: 6, kind: "lookup" },
    {
      className: "portal_submission",
      rate: 3,
      kind: "post",
      path: "/submissions",
    },
  ],
  kontrola_sever: [
    { className: "lane_lookup", rate: 5, kind: "lookup" },
    {
      className: "clerk_summary",
      rate: 6,
      kind: "chat",
      promptLength: 3_000,
      tokens: 100,
    },
    {
      className: "chat",
      rate: 8,
      kind: "chat",
      promptLength: 400,
      tokens: 40,
    },
    { className: "garage_lookup", rate: 5, kind: "lookup" },
    { className: "slot_hold", rate: 4, kind: "post", path: "/holds" },
    { className: "reminder", rate: 1, kind: "post", path: "/reminders" },
  ],
};

/** Expected content of a complete answer. */
export type Expectation =
  | { kind: "whole_chat"; text: string }
  | { kind: "streamed_chat"; text: string; tokens: number }
  | { kind: "lookup"; body: string }
  | { kind: "post"; echo: string };

/** How a caller behaves beyond sending its request. */
export type Behaviour = "plain" | "resubmits" | "leaves";

/** One scheduled request. */
export interface PlannedRequest {
  number: number;
  /** Time to send it, relative to the start of the load. */
  atMs: number;
  className: string;
  key: string;
  method: string;
  path: string;
  body: string | undefined;
  expected: Expectation;
  behaviour: Behaviour;
  abortAfterBytes: number | undefined;
}

/** Lists the users that have a load. */
export function listUsers(): string[] {
  return Object.keys(PROFILES);
}

/** Builds the requests of `seconds` of load; deterministic for an example. */
export function buildWorkload(
  example: Example,
  seconds: number,
): PlannedRequest[] {
  const random = SeededRandom.create(SEED);
  const builder = RequestBuilder.create(example, random);
  const requests: PlannedRequest[] = [];
  for (const profile of PROFILES[example.user] ?? []) {
    const count = Math.max(1, Math.round(profile.rate * seconds));
    for (let index = 0; index < count; index++) {
      const atMs = random.nextInt(seconds * 1_000);
      requests.push(
        builder.build(profile, { atMs, isStreamed: index % 2 < 1 }),
      );
    }
  }
  requests.sort((left, right) => left.atMs - right.atMs);
  setBehaviour(requests, { kind: "post", behaviour: "resubmits" });
  setBehaviour(requests, { kind: "streamed_chat", behaviour: "leaves" });
  return requests;
}

/** Builds requests and numbers them. */
class RequestBuilder {
  readonly #example: Example;
  readonly #random: SeededRandom;
  readonly #model: string;
  readonly #service: string;
  #number = 0;

  constructor(example: Example, random: SeededRandom) {
    this.#example = example;
    this.#random = random;
    const pools = listRecords(example, "upstream_pool");
    const engines = pools.find((pool) => pool.type === "model");
    this.#model = engines?.models?.[0]?.model ?? "";
    this.#service = pools.find((pool) => pool.type === "service")?.name ?? "";
  }

  static create(example: Example, random: SeededRandom): RequestBuilder {
    return new RequestBuilder(example, random);
  }

  build(
    profile: ClassProfile,
    options: { atMs: number; isStreamed: boolean },
  ): PlannedRequest {
    const number = this.#number++;
    const frame = {
      number,
      atMs: options.atMs,
      className: profile.className,
      key: formatDemoKey(this.#pickWorkspace(profile.className).name),
      behaviour: "plain" as const,
      abortAfterBytes: undefined,
    };
    if (profile.kind === "chat") {
      return { ...frame, ...this.#buildChat(profile, options.isStreamed) };
    }
    const base = `/services/${this.#service}`;
    if (profile.kind === "lookup") {
      const path = `/lookup/${profile.className}-${number}`;
      const body = JSON.stringify(buildLookupBody(path));
      return {
        ...frame,
        method: "GET",
        path: base + path,
        body: undefined,
        expected: { kind: "lookup", body },
      };
    }
    const body = JSON.stringify({ number, vehicle: `žlutý-${number}` });
    return {
      ...frame,
      method: "POST",
      path: base + (profile.path ?? "/"),
      body,
      expected: { kind: "post", echo: body },
    };
  }

  #buildChat(profile: ClassProfile, isStreamed: boolean) {
    const tokens = profile.tokens ?? 1;
    const marker = `[[tokens=${tokens}]] ${this.#number} `;
    const filler = "Vážená señora, el trámite. ";
    const length = profile.promptLength ?? 0;
    // The filler comes first, so that requests share a prefix.
    const long = filler.repeat(Math.ceil(length / filler.length));
    const messages = [{ role: "user", content: long + marker }];
    const maxTokens = 2 * tokens;
    const text = EngineAnswer.create({
      prompt: formatChatPrompt(messages),
      model: this.#model,
      maxTokens,
    }).getText();
    const body = JSON.stringify({
      model: this.#model,
      messages,
      max_tokens: maxTokens,
      stream: isStreamed,
    });
    const expected: Expectation = isStreamed
      ? { kind: "streamed_chat", text, tokens }
      : { kind: "whole_chat", text };
    return { method: "POST", path: "/v1/chat/completions", body, expected };
  }

  #pickWorkspace(className: string): ExampleRecord {
    const workspaces = listRecords(this.#example, "workspace")
      .filter((workspace) => workspace.classes?.includes(className));
    const workspace = this.#random.pick(workspaces);
    if (workspace !== undefined) return workspace;
    throw new Error(`No workspace may use class ${className}`);
  }
}

/** Sets the behaviour of one request of a kind, past the first quarter. */
function setBehaviour(
  requests: PlannedRequest[],
  options: { kind: Expectation["kind"]; behaviour: Behaviour },
): void {
  const firstIndex = Math.floor(requests.length / 4);
  const found = requests.slice(firstIndex)
    .find((request) => request.expected.kind === options.kind);
  if (found === undefined) return;
  found.behaviour = options.behaviour;
  if (options.behaviour === "leaves") found.abortAfterBytes = ABORT_AFTER_BYTES;
}
