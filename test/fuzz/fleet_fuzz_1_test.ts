import { it } from "vitest";
import {
  checkInvariants,
  COVERED_UNDER_FAULTS,
  FUZZ_TIMEOUT_MS,
} from "./expect_invariants.ts";

const SEED = 101;

it("violates no invariant under faults", async () => {
  await checkInvariants({
    seed: SEED,
    profile: "all",
    covered: COVERED_UNDER_FAULTS,
  });
}, FUZZ_TIMEOUT_MS);
