import { expect, it } from "vitest";
import { PartStorm } from "./part_storm.ts";

const BAD = "bad";
const STORM_MS = 5_000;
/** Requests with the part that may reach replicas in all. */
const MAX_REACHED = 8;
/** Crashes after which no request with the part is sent any more. */
const KNOWN_CRASHES = 5;
/** Time in which what was under way at that crash ends. */
const UNDER_WAY_MS = 1_000;
const MIN_SERVED = 0.97;

function isBad(parts: readonly string[]): boolean {
  return parts.includes(BAD);
}

// Guards against a prompt part that crashes replica after replica in ever new
// requests, none of which is like one before.
it("requests with a part that crashes replicas are held", async () => {
  const storm = await PartStorm.create({ isBad });
  await storm.run(STORM_MS, {
    bad: (index) => [`first-${index % 3}`, BAD],
    sound: (index) => [`first-${index % 3}`, `session-${index % 20}`],
  });
  const knownAt = storm.crashes[KNOWN_CRASHES - 1]?.at ?? Infinity;
  expect(storm.crashes.length).toBeGreaterThan(2);
  expect(storm.countReached()).toBeLessThanOrEqual(MAX_REACHED);
  expect(storm.countReached(isBad, knownAt + UNDER_WAY_MS)).toBe(0);
});

// Guards against a crash series that takes the whole pool from sound requests
// with the same caller and first part.
it("sound requests that share its first part are served", async () => {
  const storm = await PartStorm.create({ isBad });
  await storm.run(STORM_MS, {
    bad: () => ["first", BAD],
    sound: (index) => ["first", `session-${index % 20}`],
  });
  const known = storm.crashes[KNOWN_CRASHES - 1] ?? storm.crashes.at(-1)!;
  expect(storm.computeServed(known.at + UNDER_WAY_MS))
    .toBeGreaterThanOrEqual(MIN_SERVED);
});
