import { expect, it } from "vitest";
import { StoreAudit } from "../../../src/process/seeded_fleet/store_audit.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const WATCH_MS = 1_000;
const MINUTE_MS = 60_000;
/** For control at a VM of the target size, in a second. */
const CONTROL_BYTES = 21_000;

// Guards against a VM that reads everything with each watch of a store whose
// revision grows without a change.
it.each([1_000, 10_000, 30_000, 750_000])(
  "reads after incomplete answers are bounded for a state of %i bytes",
  async (sizeBytes) => {
    const clock = VirtualClock.create();
    const audit = StoreAudit.create(clock);
    audit.noteSize(sizeBytes);
    let reads = 0;
    expect(audit.takeIncompleteRead()).toBe(true);
    for (let ms = 0; ms < 10 * MINUTE_MS; ms += WATCH_MS) {
      if (audit.takeIncompleteRead()) reads += 1;
      await clock.run(WATCH_MS);
    }
    const seconds = 10 * MINUTE_MS / 1_000;
    expect(reads * sizeBytes / seconds).toBeLessThan(CONTROL_BYTES);
    expect(reads).toBeGreaterThan(0);
  },
);
