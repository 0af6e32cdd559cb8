/**
 * The events of a fuzz run as fast-check commands with parameters.
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
import type { FuzzVm } from "./fuzz_vm.ts";

const MAX_SUBMISSIONS = 60;
const HTTP_CREATED = 201;
/** Requests of each class of a "contend" event. */
const CONTENDING_REQUESTS = 6;
const LONG_TOKENS = 60;
/** A "press" event: rounds, their interval, and requests in each round. */
const PRESSURE_ROUNDS = 28;
const PRESSURE_INTERVAL_MS = 500;
const PRESSURE_REQUESTS = 2;
const MAX_SUBMISSIONS_BEFORE_PRESSURE = 20;

/** A selection of events; a key of `PROFILES`. */
export type Profile = string;

/** An action of callers, or the passing of time. */
export type CallerEvent =
  | { kind: "advance"; ms: number }
  | {
    kind: "arrive";
    vm: number;
    shape: RequestShape;
    hasIssuedId: boolean;
    writeMs: number;
  }
  | { kind: "burst"; vm: number; shape: RequestShape; count: number }
  /** A burst of each model class, the lowest tier first. */
  | { kind: "contend"; vm: number; shape: RequestShape; waitMs: number }
  /** The higher tier arrives faster than it is served; the lower waits. */
  | { kind: "press"; vm: number; shape: RequestShape }
  | { kind: "leave"; index: number }
  | { kind: "submit_again"; index: number; vm: number };

/** Any event. */
export type FuzzEvent = CallerEvent | FaultEvent;

/** The state that the commands' preconditions depend on. */
export interface FuzzModel {
  submissions: number;
  issued: number;
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
        () => model.submissions + 2 * CONTENDING_REQUESTS <= MAX_SUBMISSIONS,
      )
      .with(
        { kind: "press" },
        () => model.submissions < MAX_SUBMISSIONS_BEFORE_PRESSURE,
      )
      .with({ kind: "leave" }, () => model.submissions > 0)
      .with(
        { kind: "submit_again" },
        () => model.issued > 0 && model.submissions < MAX_SUBMISSIONS,
      )
      .otherwise(() => true);
  }

  async run(model: FuzzModel, world: FuzzWorld): Promise<void> {
    await applyEvent(this.event, world);
    model.submissions = world.submissions.length;
    model.issued = listWithIssuedId(world).length;
  }

  toString(): string {
    return JSON.stringify(this.event);
  }
}

/** Builds the arbitrary of command sequences. */
export function buildCommands(profile: Profile) {
  const { events, maxCommands } = PROFILES[profile]!;
  const commands = events
    .map((event) => event.map((value) => new FuzzCommand(value)));
  return fc.commands(commands, { maxCommands, size: "max" });
}

/** Applies one event. */
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
      return await sendPressure(world, event);
    case "leave":
      pickOne(world.submissions, event.index)?.sink.cancel();
      return;
    case "submit_again":
      return sendAgain(world, event);
    default:
      return await applyFault(event, world);
  }
}

/** Picks one of `items` by a number of a command, modulo their count. */
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
  hasIssuedId: fc.boolean(),
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

// Repeated entries occur more often.
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

/** All events, load alone to test the queues, or faults of upstreams alone. */
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
  const vm = pickOne(world.listLiveVms(), event.vm);
  if (vm === undefined) return;
  const { writeMs, shape } = event;
  const request = world.buildRequest(shape);
  if (event.hasIssuedId && vm.isUp) {
    const sink = world.sendQuery(vm, {
      method: "POST",
      path: "/v1/requests",
      workspace: request.workspace,
    });
    await world.run(1);
    if (sink.status !== HTTP_CREATED) return;
    request.issuedId = JSON.parse(sink.text).request_id;
  }
  world.send(vm, request, { writeMs });
}

function sendMany(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "burst" }>,
): void {
  const vms = world.listLiveVms();
  for (let index = 0; index < event.count; index++) {
    const vm: FuzzVm | undefined = pickOne(vms, event.vm + index);
    if (vm === undefined) return;
    const workspaceIndex = event.shape.workspaceIndex + index % 2;
    const shape = { ...event.shape, workspaceIndex };
    world.send(vm, world.buildRequest(shape));
  }
}

/** Lists the indexes of the model classes, the lowest tier first. */
function listModelClasses(user: User): number[] {
  return listClasses(user)
    .map((one, index) => ({ one, index, rank: getRank(user, one) }))
    .filter(({ one }) => one.maxOutputTokens > 1)
    .sort((left, right) => right.rank - left.rank)
    .map(({ index }) => index);
}

async function sendPressure(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "press" }>,
): Promise<void> {
  const [low, high] = listModelClasses(world.user);
  const { vm } = event;
  for (let round = 0; round < PRESSURE_ROUNDS; round++) {
    const shape = { ...event.shape, classIndex: high!, tokens: LONG_TOKENS };
    sendMany(world, { kind: "burst", vm, shape, count: PRESSURE_REQUESTS });
    if (round % 9 === 1) {
      const lower = { ...shape, classIndex: low! };
      sendMany(world, {
        kind: "burst",
        vm,
        shape: lower,
        count: PRESSURE_REQUESTS,
      });
    }
    await world.run(PRESSURE_INTERVAL_MS);
  }
}

async function sendContending(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "contend" }>,
): Promise<void> {
  for (const index of listModelClasses(world.user)) {
    const shape = { ...event.shape, classIndex: index, tokens: LONG_TOKENS };
    const { vm } = event;
    sendMany(world, { kind: "burst", vm, shape, count: CONTENDING_REQUESTS });
    await world.run(event.waitMs);
  }
}

function sendAgain(
  world: FuzzWorld,
  event: Extract<CallerEvent, { kind: "submit_again" }>,
): void {
  const first = pickOne(listWithIssuedId(world), event.index);
  const vm = pickOne(world.listLiveVms(), event.vm);
  if (first === undefined || vm === undefined) return;
  world.send(vm, first.request);
}

function listWithIssuedId(world: FuzzWorld): Submission[] {
  return world.submissions
    .filter(({ request }) => request.issuedId !== undefined);
}
