import { it } from "vitest";
import {
  checkPromises,
  FUZZ_TIMEOUT_MS,
  MET_UNDER_FAULTS,
} from "./expect_promises.ts";

const SEED = 101;

it("keeps every promise under faults", async () => {
  await checkPromises({
    seed: SEED,
    profile: "all",
    met: MET_UNDER_FAULTS,
  });
}, FUZZ_TIMEOUT_MS);
