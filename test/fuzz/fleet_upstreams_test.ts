import { it } from "vitest";
import {
  checkPromises,
  FUZZ_TIMEOUT_MS,
  MET_UNDER_FAULTS,
} from "./expect_promises.ts";

const SEED = 505;

it("keeps every promise under faults of upstreams", async () => {
  await checkPromises({
    seed: SEED,
    profile: "upstreams",
    met: MET_UNDER_FAULTS,
  });
}, FUZZ_TIMEOUT_MS);
