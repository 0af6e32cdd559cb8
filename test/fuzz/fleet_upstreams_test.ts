import { it } from "vitest";
import {
  checkInvariants,
  COVERED_UNDER_FAULTS,
  FUZZ_TIMEOUT_MS,
} from "./expect_invariants.ts";

const SEED = 505;

it("violates no invariant under upstream faults", async () => {
  await checkInvariants({
    seed: SEED,
    profile: "upstreams",
    covered: COVERED_UNDER_FAULTS,
  });
}, FUZZ_TIMEOUT_MS);
