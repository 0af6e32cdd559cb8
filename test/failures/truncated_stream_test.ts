import { expect, it, onTestFinished } from "vitest";
import { type Log, SilentLog } from "../../src/process/log.ts";
import { waitUntil } from "../support/loopback.ts";
import { FakeLog } from "../support/request_fakes.ts";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";
import {
  type Framing,
  type RawAnswer,
  RawReplica,
} from "../platform/raw_replica.ts";

const EVENT_STREAM = "text/event-stream";
/** Two events, with all that the format allows beside them. */
const STREAMS = {
  LF: "id: 1\ndata: one\n\n: comment\n\nid: 2\ndata: two\n\n",
  "CR LF": "id: 1\r\ndata: one\r\n\r\nid: 2\r\ndata: two\r\n\r\n",
  CR: "id: 1\rdata: one\r\rid: 2\rdata: two\r\r",
};
const FRAMINGS: readonly Framing[] = ["close", "chunked"];

type Way = "directly" | "passed on";
const WAYS: readonly Way[] = ["directly", "passed on"];

interface RawFleet {
  fleet: PlatformFleet;
  replica: RawReplica;
  send: (
    path: string,
    headers?: Record<string, string>,
  ) => ReturnType<typeof sendRequest>;
}

/** One replica; requests reach it through one VM, or through two. */
async function createFleet(
  way: Way,
  log: Log = SilentLog.create(),
): Promise<RawFleet> {
  const fleet = await PlatformFleet.create({ replicas: 0, vms: 0 });
  const replica = RawReplica.create("i-raw", buildAnswer());
  await replica.start();
  onTestFinished(() => replica.stop());
  fleet.listReplica(replica);
  const vms = way === "directly" ? 1 : 2;
  for (let count = 0; count < vms; count++) await fleet.addVm({ log });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === vms)
  );
  const [vm] = fleet.vms;
  if (way === "passed on") vm!.links.cut("reset");
  const send = (path: string, headers: Record<string, string> = {}) =>
    sendRequest(vm!, { path, headers });
  return { fleet, replica, send };
}

function buildAnswer(changes: Partial<RawAnswer> = {}): RawAnswer {
  return {
    status: 200,
    contentType: EVENT_STREAM,
    framing: "close",
    body: Buffer.from(STREAMS.LF),
    ...changes,
  };
}

/** The lengths at which `text` may end, as it does not end within an event. */
function listBoundaries(text: string): Set<number> {
  const ends = new Set<number>();
  for (const blankLine of ["\n\n", "\r\n\r\n", "\r\r"]) {
    let at = text.indexOf(blankLine);
    while (at >= 0) {
      ends.add(at + blankLine.length);
      at = text.indexOf(blankLine, at + 1);
    }
  }
  // The comment's own line may be the last one.
  const comment = text.indexOf(": comment\n");
  if (comment >= 0) ends.add(comment + ": comment\n".length);
  return ends;
}

/** Every beginning of the streams, in both framings, that a replica may send. */
function listAnswers(): (RawAnswer & { isWhole: boolean })[] {
  return Object.values(STREAMS).flatMap((text) => {
    const boundaries = listBoundaries(text);
    return FRAMINGS.flatMap((framing) =>
      Array.from({ length: text.length }, (_, index) => ({
        ...buildAnswer({
          framing,
          body: Buffer.from(text.slice(0, 1 + index)),
        }),
        isWhole: boundaries.has(1 + index),
      }))
    );
  });
}

// Guards against a stream that its replica broke off within an event, by closing
// the connection in order, and that reaches its caller as complete.
it("a stream is whole only if it does not end within an event", async () => {
  for (const way of WAYS) {
    const { replica, send } = await createFleet(way);
    const seen: unknown[] = [];
    const wanted: unknown[] = [];
    for (const { isWhole, ...answer } of listAnswers()) {
      replica.answer = answer;
      const { framing, body } = answer;
      const received = await send("/stream/x");
      const sent = { way, framing, text: body.toString(), status: 200 };
      seen.push({
        ...sent,
        status: received.status,
        isWhole: received.isWhole,
      });
      wanted.push({ ...sent, isWhole });
      if (isWhole) expect(received.body).toBe(body.toString());
    }
    expect(seen).toEqual(wanted);
  }
}, 60_000);

// Guards against a whole stream that is broken off where streams can be resumed,
// because its lines end in CR alone or its last line is a comment.
it("a stream that can be resumed is whole at the same places", async () => {
  const { replica, send } = await createFleet("directly");
  const seen: unknown[] = [];
  const wanted: unknown[] = [];
  for (const { isWhole, ...answer } of listAnswers()) {
    replica.answer = answer;
    const { framing, body } = answer;
    const received = await send("/restream/x");
    const text = body.toString();
    const isTakenForWhole = received.status === 200 && received.isWhole;
    seen.push({ framing, text, isWhole: isTakenForWhole });
    wanted.push({ framing, text, isWhole });
    if (isWhole) expect(received.body).toBe(text);
  }
  expect(seen).toEqual(wanted);
}, 60_000);

// Guards against a replica that crashes after the head of its answer and whose
// empty answer reaches the caller as a complete stream.
it("a stream without any event is refused unless its framing ends it", async () => {
  for (const way of WAYS) {
    const { replica, send } = await createFleet(way);
    replica.answer = buildAnswer({ body: Buffer.alloc(0) });
    expect(await send("/stream/x")).toMatchObject({ status: 502 });
    expect(await send("/restream/x")).toMatchObject({ status: 502 });
    for (const framing of ["chunked", "length"] as const) {
      replica.answer = buildAnswer({ framing, body: Buffer.alloc(0) });
      expect(await send("/stream/x"))
        .toMatchObject({ status: 200, isWhole: true, body: "" });
    }
  }
});

it("a stream that is reset between events is not whole", async () => {
  for (const way of WAYS) {
    const { replica, send } = await createFleet(way);
    for (const framing of FRAMINGS) {
      replica.answer = buildAnswer({ framing, isReset: true });
      const answer = await send("/stream/x");
      expect(answer.status === 200 && answer.isWhole).toBe(false);
    }
  }
});

// Guards against a limit on the size of events where a stream is forwarded: only
// resuming a stream needs to hold a whole event.
it("a stream with an event of a megabyte is forwarded", async () => {
  const { replica, send } = await createFleet("directly");
  const event = `data: ${"x".repeat(1_048_576)}\n\n`;
  replica.answer = buildAnswer({ body: Buffer.from(event) });
  expect(await send("/stream/x")).toMatchObject({ isWhole: true, body: event });
});

// Guards against an answer of another type that is taken for a stream: it would be
// broken off, or answered 502, because it does not end with a blank line.
it("an answer that is no event stream keeps its status and body", async () => {
  const { fleet, replica, send } = await createFleet("directly");
  const other = RawReplica.create("i-other", buildAnswer());
  await other.start();
  onTestFinished(() => other.stop());
  fleet.listReplica(other);
  const body = Buffer.from('{"error": "x"}');
  const seen: unknown[] = [];
  const wanted: unknown[] = [];
  for (const path of ["/stream/x", "/restream/x"]) {
    for (const status of [200, 400, 404, 500]) {
      for (const framing of ["length", "chunked", "close"] as const) {
        const contentType = "application/json";
        replica.answer = { status, framing, body, contentType };
        other.answer = replica.answer;
        const answer = await send(path);
        const { isWhole } = answer;
        const sent = { path, framing };
        seen.push({
          ...sent,
          status: answer.status,
          isWhole,
          body: answer.body,
        });
        wanted.push({ ...sent, status, isWhole: true, body: body.toString() });
      }
    }
  }
  expect(seen).toEqual(wanted);
});

// Guards against a stream that its replica broke off and that counts as answered.
it("a stream that ends within an event is logged as broken off", async () => {
  const log = new FakeLog();
  const { replica, send } = await createFleet("directly", log);
  replica.answer = buildAnswer({ body: Buffer.from(STREAMS.LF.slice(0, -1)) });
  await send("/stream/x");
  const find = (name: string) =>
    log.lines.find(({ event }) => event === name)?.fields;
  expect(find("answer_truncated"))
    .toMatchObject({ upstream: replica.id, events: 1 });
  expect(find("request_finished"))
    .toMatchObject({ result: "lost", code: "answer_truncated" });
});

it("the rest of a stream may have no event left", async () => {
  const { replica, send } = await createFleet("directly");
  await send("/restream/x", { "x-request-id": "first" });
  replica.answer = buildAnswer({ body: Buffer.alloc(0) });
  const rest = { resumes: "first", "last-event-id": "2" };
  expect(await send("/restream/x", rest))
    .toMatchObject({ status: 200, isWhole: true, body: "" });
});
