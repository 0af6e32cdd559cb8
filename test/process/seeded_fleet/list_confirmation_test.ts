import { expect, it } from "vitest";
import { type Incarnation, toId } from "../../../src/ids.ts";
import type {
  Confirmation,
  FleetHeartbeat,
} from "../../../src/process/seeded_fleet/fleet_message.ts";
import { ListConfirmation } from "../../../src/process/seeded_fleet/list_confirmation.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const SELF = toId<Incarnation>("process-1");
const READER = toId<Incarnation>("process-2");
/** What the estimate of an offset may grow by in half a second. */
const CLOCK_DRIFT_MS = 5;
const RELAY = toId<Incarnation>("process-3");

async function startConfirmation() {
  const clock = VirtualClock.create();
  const confirmation = ListConfirmation.create(SELF, clock);
  await clock.run(10_000);
  const receive = (
    from: Incarnation,
    content: { sentAt?: number; confirmed?: Confirmation },
    isSameList = true,
  ) =>
    confirmation.noteHeartbeat(
      { incarnation: from, ...content } as FleetHeartbeat,
      isSameList,
    );
  return { clock, confirmation, receive };
}

it("an answer of the store is passed on with this process's time", async () => {
  const { confirmation } = await startConfirmation();
  expect(confirmation.current).toBeUndefined();
  confirmation.noteStore(9_970);
  expect(confirmation.confirmedAt).toBe(9_970);
  expect(confirmation.current).toEqual([SELF, 9_970]);
});

it("a confirmation is as old by way of others as from its reader", async () => {
  const { clock, confirmation, receive } = await startConfirmation();
  receive(READER, { sentAt: 9_998 });
  await clock.run(500);
  receive(RELAY, { sentAt: 77, confirmed: [READER, 9_900] });
  expect(confirmation.confirmedAt).toBeCloseTo(9_902 + CLOCK_DRIFT_MS);
  expect(confirmation.current).toEqual([READER, 9_900]);
});

it("an older confirmation replaces no newer one", async () => {
  const { confirmation, receive } = await startConfirmation();
  receive(READER, { sentAt: 10_000, confirmed: [READER, 9_900] });
  receive(RELAY, { sentAt: 77, confirmed: [READER, 9_800] });
  expect(confirmation.confirmedAt).toBe(9_900);
  expect(confirmation.current).toEqual([READER, 9_900]);
});

// Guards against an outage of the store that is none: it answered others, which
// have a newer list.
it("a confirmation of another list shows that the store answers", async () => {
  const { confirmation, receive } = await startConfirmation();
  expect(confirmation.answeredAt).toBe(-Infinity);
  receive(READER, { sentAt: 10_000, confirmed: [READER, 9_900] }, false);
  expect(confirmation.answeredAt).toBe(9_900);
  expect(confirmation.confirmedAt).toBe(-Infinity);
});

// Guards against a list that counts as the newest although it is not, or for an
// unknown time.
it("other lists, unknown readers and own answers confirm nothing", async () => {
  const { confirmation, receive } = await startConfirmation();
  receive(READER, { sentAt: 10_000, confirmed: [READER, 9_900] }, false);
  receive(RELAY, { sentAt: 77, confirmed: [toId("process-9"), 9_900] });
  receive(RELAY, { sentAt: 77, confirmed: [SELF, 9_900] });
  receive(RELAY, { confirmed: [READER, 9_900] });
  expect(confirmation.confirmedAt).toBe(-Infinity);
  expect(confirmation.current).toBeUndefined();
});
