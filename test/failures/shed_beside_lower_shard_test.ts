/**
 * Guards against a request that one shard of a pool refuses (queue full, or
 * shed) while another shard of the pool serves a lower tier. Here a burst of
 * chat and then a burst of summaries fill both shards. The VM's runtime once
 * created its shard owners without the other shards' summaries, so no owner
 * could forward a request; the owner's unit tests supplied them by hand.
 */
import { expect, it } from "vitest";
import { Log, type LogFields, type LogLevel } from "../../src/process/log.ts";
import { listClasses } from "../fuzz/fuzz_request.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const USER = "kontrola_sever";
const BURST = 20;

it("forwards requests to the shard that serves a lower tier", async () => {
  const log = new ForwardingLog();
  const world = await FuzzWorld.create({
    user: USER,
    vms: 3,
    seed: 1,
    log,
  });
  sendBurst(world, "chat");
  await world.run(1_000);
  sendBurst(world, "clerk_summary");
  await world.run(1_000);
  world.close();
  expect(log.count).toBeGreaterThan(0);
});

function sendBurst(world: FuzzWorld, className: string): void {
  const classIndex = listClasses(USER)
    .findIndex(({ name }) => name === className);
  for (let index = 0; index < BURST; index++) {
    const vm = world.listLiveVms()[index % 3]!;
    const request = world.buildRequest({
      classIndex,
      workspaceIndex: 0,
      tokens: 60,
      promptTokens: 0,
      streamed: true,
      once: false,
    });
    world.send(vm, request);
  }
}

/** Counts forwarded requests. */
class ForwardingLog extends Log {
  count = 0;

  override write(_level: LogLevel, event: string, fields: LogFields): void {
    if (event === "request_step" && fields["step"] === "passed_on") {
      this.count++;
    }
  }
}
