import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type Incarnation,
  type RequestFingerprint,
  toId,
} from "../../../src/ids.ts";
import { HOLD_AFTER_CRASHES } from "../../../src/process/quarantine/crash_evidence.ts";
import { CrashLedger } from "../../../src/process/quarantine/crash_ledger.ts";
import type { SuspectEntry } from "../../../src/process/quarantine/suspect_entry.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const REQUEST = toId<RequestFingerprint>("request");
const FIRST_HOLD_MS = 600_000;
const EARLY_HOLD_MS = 60_000;
const EVIDENCE_TTL_MS = 600_000;

function createLedger(): { clock: VirtualClock; ledger: CrashLedger } {
  const clock = VirtualClock.create();
  return { clock, ledger: CrashLedger.create(clock) };
}

/** After the first output, so that three crashes are needed to hold it. */
function addCrashes(ledger: CrashLedger, count: number, first = 0): void {
  for (let index = first; index < first + count; index++) {
    ledger.addCrash(REQUEST, toId<Incarnation>(`i-${index}`), true);
  }
}

describe("a request under which replicas crash", () => {
  it("is held once three replicas have crashed", () => {
    const { ledger } = createLedger();
    addCrashes(ledger, HOLD_AFTER_CRASHES - 1);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(0);
    addCrashes(ledger, 1, HOLD_AFTER_CRASHES);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(FIRST_HOLD_MS);
  });

  it("is held for a short time after two crashes before its output", () => {
    const { ledger } = createLedger();
    addCrashes(ledger, 1);
    ledger.addCrash(REQUEST, toId("i-1"), false);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(0);
    ledger.addCrash(REQUEST, toId("i-0"), false);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(EARLY_HOLD_MS);
  });

  // Guards against counting one crash several times.
  it("is not held for one crash that is reported repeatedly", () => {
    const { ledger } = createLedger();
    for (let time = 0; time < 10; time++) addCrashes(ledger, 1);
    expect(ledger.countCrashes(REQUEST)).toBe(1);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(0);
  });

  it("is held twice as long after one more crash", async () => {
    const { clock, ledger } = createLedger();
    addCrashes(ledger, HOLD_AFTER_CRASHES);
    await clock.run(FIRST_HOLD_MS);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(0);
    addCrashes(ledger, 1, HOLD_AFTER_CRASHES);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(2 * FIRST_HOLD_MS);
  });

  it("is released once it was answered completely", async () => {
    const { clock, ledger } = createLedger();
    addCrashes(ledger, HOLD_AFTER_CRASHES);
    await clock.run(1);
    ledger.noteAnswered(REQUEST);
    expect(ledger.getQuarantineMs(REQUEST)).toBe(0);
    expect(ledger.listSuspects()).toEqual([]);
  });

  it("is not held for an earlier crash that is reported after its answer", async () => {
    const { clock, ledger } = createLedger();
    addCrashes(ledger, HOLD_AFTER_CRASHES - 1);
    await clock.run(100);
    ledger.noteAnswered(REQUEST);
    await clock.run(100);
    const late: SuspectEntry = [REQUEST, [[toId("i-9"), 150, true]], -1];
    ledger.mergeEntry(late);
    expect(ledger.countCrashes(REQUEST)).toBe(0);
  });

  it("is no suspect where a single crash cut off its output", () => {
    const { ledger } = createLedger();
    addCrashes(ledger, 1);
    expect(ledger.isSuspect(REQUEST)).toBe(false);
    addCrashes(ledger, 1, 1);
    expect(ledger.isSuspect(REQUEST)).toBe(true);
  });

  it("is forgotten after a time where it was never held", async () => {
    const { clock, ledger } = createLedger();
    addCrashes(ledger, 1);
    await clock.run(EVIDENCE_TTL_MS);
    expect(ledger.countCrashes(REQUEST)).toBe(0);
    expect(ledger.listSuspects()).toEqual([]);
  });
});

describe("a ledger", () => {
  // Guards against a crash of a crowded replica evicting requests that are
  // held.
  it("keeps held requests among thousands of suspects", () => {
    const { ledger } = createLedger();
    addCrashes(ledger, HOLD_AFTER_CRASHES);
    for (let index = 0; index < 5_000; index++) {
      ledger.addCrash(toId(`beside-${index}`), toId("i-0"), false);
    }
    expect(ledger.getQuarantineMs(REQUEST)).toBeGreaterThan(0);
    expect(ledger.listSuspects().length).toBeLessThanOrEqual(2_000);
    expect(ledger.listSuspects()[0]).toBe(REQUEST);
  });

  it("does not depend on the order of entries or on repeats", () => {
    const entry = fc.tuple(
      fc.constantFrom(toId<RequestFingerprint>("a"), REQUEST),
      fc.array(
        fc.tuple(
          fc.constantFrom(...["i-1", "i-2", "i-3"].map(toId<Incarnation>)),
          fc.constant(50),
          fc.boolean(),
        ),
      ),
      fc.constantFrom(-1, 20, 80),
    );
    fc.assert(
      fc.property(fc.array(entry, { maxLength: 12 }), (entries) => {
        const one = createLedger().ledger;
        const other = createLedger().ledger;
        entries.forEach((each) => one.mergeEntry(each));
        [...entries, ...entries].reverse()
          .forEach((each) => other.mergeEntry(each));
        for (const request of [toId<RequestFingerprint>("a"), REQUEST]) {
          expect(other.countCrashes(request)).toBe(one.countCrashes(request));
          expect(other.getQuarantineMs(request)).toBe(
            one.getQuarantineMs(request),
          );
        }
      }),
    );
  });
});
