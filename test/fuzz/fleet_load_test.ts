import { it } from "vitest";
import { checkPromises, FUZZ_TIMEOUT_MS } from "./expect_promises.ts";

const SEED = 404;

it("keeps every promise under load alone", async () => {
  await checkPromises({
    seed: SEED,
    profile: "load",
    met: ["whole", "granted", "shed", "preempted"],
  });
}, FUZZ_TIMEOUT_MS);
