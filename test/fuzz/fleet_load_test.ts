import { it } from "vitest";
import { checkInvariants, FUZZ_TIMEOUT_MS } from "./expect_invariants.ts";

const SEED = 404;

it("violates no invariant under load without faults", async () => {
  await checkInvariants({
    seed: SEED,
    profile: "load",
    covered: ["whole", "granted", "shed", "preempted"],
  });
}, FUZZ_TIMEOUT_MS);
