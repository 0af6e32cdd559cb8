/**
 * What can happen to a fleet: fast-check commands, each an event with its
 * parameters.
 *
 * @module
 */
import fc from "fast-check";
import { match } from "ts-pattern";
import type { User } from "../../bench/support/example_records.ts";
import {
  applyFault,
  type FaultEvent,
  FAULTS,
  UPSTREAM_FAULTS,
} from "./fuzz_faults.ts";
import { getRank, listClasses, type RequestShape } from "./fuzz_request.ts";
import type { FuzzWorld, Submission } from "./fuzz_world.ts";
import type { VmLife } from "./vm_life.ts";

const MAX_SUBMISSIONS = 60;
const CREATED = 201;
/** Requests of each of two classes that contend. */
const CONTENDING = 6;
const LONG_TOKENS = 60;
/** Presses: how often, how far apart, and how many requests each time. */
const PRESSES = 28;
const PRESS_EVERY_MS = 500;
const PRESSING = 2;
const PRESS_BELOW = 20;

/** A choice of events; a key of `PROFILES`. */
export type Profile = string;

/** What callers do, and time. */
export type CallerEvent =
  | { kind: "advance"; ms: number }
  | {
    kind: "arrive";
    vm: number;
    shape: RequestShape;
    isTaken: boolean;
    writeMs: number;
  }
  | { kind: "burst"; vm: number; shape: RequestShape; count: number }
  /** A burst, and while it runs one of a higher tier. */
  | { kind: "contend"; vm: number; shape: RequestShape; waitMs: number }
  /** The higher tier comes faster than it is served; the lower waits. */
  | { kind: "press"; vm: number; shape: RequestShape }
  | { kind: "leave"; index: number }
  | { kind: "submit_again"; index: number; vm: number };

/** Any event. */
export type FuzzEvent = CallerEvent | FaultEvent;

/** What the commands' preconditions look at. */
export interface FuzzModel {
  submissions: number;
  taken: number;
}

/** One event as a command of fast-check. */
export class FuzzCommand
  implements fc.AsyncCommand<FuzzModel, FuzzWorld, false> {
  readonly event: FuzzEvent;

  constructor(event: FuzzEvent) {
    this.event = event;
  }

  check(model: Readonly<FuzzModel>): boolean {
    return match(this.event)
      .with({ kind: "arrive" }, () => model.submissions < MAX_SUBMISSIONS)
      .with(
        { kind: "burst" },
        ({ count }) => model.submissions + count <= MAX_SUBMISSIONS,
      )
      .with(
        { kind: "contend" },
        () => model.submissions + 2 * CONTENDING <= MAX_SUBMISSIONS,
      )
      .with({ kind: "press" }, () => model.submissions < PRESS_BELOW)
      .with({ kind: "leave" }, () => model.submissions > 0)
      .with(
        { kind: "submit_again" },
        () => model.taken > 0 && model.submissions < MAX_SUBMISSIONS,
      )
      .otherwise(() => true);
  }

  async run(model: FuzzModel, world: FuzzWorld): Promise<void> {
    await applyEvent(this.event, world);
    model.submissions = world.submissions.length;
    model.taken = listTaken(world).length;
  }

  toString(): string {
    return JSON.stringify(this.event);
  }
}

/** Sequences of events. */
export function buildCommands(profile: Profile) {
  const { events, maxCommands } = PROFILES[profile]!;
  const commands = events
    .map((event) => event.map((value) => new FuzzCommand(value)));
  return fc.commands(commands, { maxCommands, size: "max" });
}

/** Lets one event happen. */
async function applyEvent(
  event: FuzzEvent,
  world: FuzzWorld,
): Promise<void> {
  switch (event.kind) {
    case "advance":
      return await world.run(event.ms);
    case "arrive":
      return await sendNew(world, event);
    case "burst":
      return await sendMany(world, event);
    case "contend":
      return await sendContending(world, event);
    case "press":
      return await sendPressing(world, event);
    case "leave":
      pickOne(world.submissions, event.index)?.sink.cancel();
      return;
    case "submit_again":
      return sendAgain(world, event);
    default:
      return await applyFault(event, world);
  }
}

/** One of `items`, by a number from a command. */
function pickOne<T>(items: readonly T[], index: number): T | undefined {
  return items.length === 0 ? undefined : items[index % items.length];
}

const VM = fc.nat({ max: 9 });
const INDEX = fc.nat({ max: 99 });
const SHAPE: fc.Arbitrary<RequestShape> = fc.record({
  classIndex: fc.nat({ max: 11 }),
  workspaceIndex: fc.nat({ max: 9 }),
  tokens: fc.integer({ min: 1, max: 60 }),
  promptTokens: fc.constantFrom(0, 0, 300),
  streamed: fc.boolean(),
  once: fc.constantFrom(false, false, false, true),
});
const ADVANCE = fc.record({
  kind: fc.constant("advance" as const),
  ms: fc.constantFrom(1, 20, 200, 700, 1_500, 4_000),
});
const ARRIVE = fc.record({
  kind: fc.constant("arrive" as const),
  vm: VM,
  shape: SHAPE,
  isTaken: fc.boolean(),
  writeMs: fc.constantFrom(0, 0, 0, 5, 400),
});
const BURST = fc.record({
  kind: fc.constant("burst" as const),
  vm: VM,
  shape: SHAPE,
  count: fc.integer({ min: 3, max: 20 }),
});
const CONTEND = fc.record({
  kind: fc.constant("contend" as const),
  vm: VM,
  shape: SHAPE,
  waitMs: fc.constantFrom(100, 300, 600, 1_200),
});
const PRESS = fc.record({
  kind: fc.constant("press" as const),
  vm: VM,
  shape: SHAPE,
});
const LEAVE = fc.record({ kind: fc.constant("leave" as const), index: INDEX });
const SUBMIT_AGAIN = fc.record({
  kind: fc.constant("submit_again" as const),
  index: INDEX,
  vm: VM,
});

// Named more than once so that they come more often.
const CALLERS: fc.Arbitrary<FuzzEvent>[] = [
  ADVANCE,
  ADVANCE,
  ADVANCE,
  ADVANCE,
  ADVANCE,
  ADVANCE,
  ARRIVE,
  ARRIVE,
  ARRIVE,
  ARRIVE,
  ARRIVE,
  BURST,
  BURST,
  BURST,
  CONTEND,
  LEAVE,
  SUBMIT_AGAIN,
  SUBMIT_AGAIN,
  SUBMIT_AGAIN,
];

/** Which events come: all, or load alone so that queues are put to the test. */
export const PROFILES: Record<
  string,
  { events: fc.Arbitrary<FuzzEvent>[]; maxCommands: number }
> = {
  all: { events: [...CALLERS, ...FAULTS, ...FAULTS], maxCommands: 30 },
  load: { events: [...CALLERS, PRESS], maxCommands: 20 },
  upstreams: {
    events: [...CALLERS, ...UPSTREAM_FAULTS, ...UPSTREAM_FAULTS],
    maxCommands: 30,
  },
};

async function sendNew(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "arrive" }>,
): Promise<void> {
  const life = pickOne(world.listLives(), event.vm);
  if (life === undefined) return;
  const { writeMs, shape } = event;
  const request = world.buildRequest(shape);
  if (event.isTaken && life.isUp) {
    const sink = world.ask(life, {
      method: "POST",
      path: "/v1/requests",
      workspace: request.workspace,
    });
    await world.run(1);
    if (sink.status !== CREATED) return;
    request.takenId = JSON.parse(sink.text).request_id;
  }
  world.send(life, request, { writeMs });
}

function sendMany(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "burst" }>,
): void {
  const lives = world.listLives();
  for (let index = 0; index < event.count; index++) {
    const life: VmLife | undefined = pickOne(lives, event.vm + index);
    if (life === undefined) return;
    const workspaceIndex = event.shape.workspaceIndex + index % 2;
    const shape = { ...event.shape, workspaceIndex };
    world.send(life, world.buildRequest(shape));
  }
}

/** Indexes of the model classes, the lowest tier first. */
function listModelClasses(user: User): number[] {
  return listClasses(user)
    .map((one, index) => ({ one, index, rank: getRank(user, one) }))
    .filter(({ one }) => one.maxOutputTokens > 1)
    .sort((left, right) => right.rank - left.rank)
    .map(({ index }) => index);
}

async function sendPressing(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "press" }>,
): Promise<void> {
  const [low, high] = listModelClasses(world.user);
  const { vm } = event;
  for (let presses = 0; presses < PRESSES; presses++) {
    const shape = { ...event.shape, classIndex: high!, tokens: LONG_TOKENS };
    sendMany(world, { kind: "burst", vm, shape, count: PRESSING });
    if (presses % 9 === 1) {
      const lower = { ...shape, classIndex: low! };
      sendMany(world, { kind: "burst", vm, shape: lower, count: PRESSING });
    }
    await world.run(PRESS_EVERY_MS);
  }
}

async function sendContending(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "contend" }>,
): Promise<void> {
  for (const index of listModelClasses(world.user)) {
    const shape = { ...event.shape, classIndex: index, tokens: LONG_TOKENS };
    const { vm } = event;
    sendMany(world, { kind: "burst", vm, shape, count: CONTENDING });
    await world.run(event.waitMs);
  }
}

function sendAgain(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "submit_again" }>,
): void {
  const first = pickOne(listTaken(world), event.index);
  const life = pickOne(world.listLives(), event.vm);
  if (first === undefined || life === undefined) return;
  world.send(life, first.request);
}

function listTaken(world: FuzzWorld): Submission[] {
  return world.submissions
    .filter(({ request }) => request.takenId !== undefined);
}
