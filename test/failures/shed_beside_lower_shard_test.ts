/**
 * Symptom: a clerk's summary was refused (queue full, or shed) by one shard of
 * its pool while another shard of the same pool served chat.
 *
 * Sequence: a burst of chat, then a burst of summaries, fills both shards.
 *
 * Cause: the VM's runtime made its shard owners without telling them where to
 * find the other shards' summaries, so that no owner ever knew of another shard
 * to pass a request on to. The owner's own tests gave the summaries by hand.
 */
import { expect, it } from "vitest";
import { Log, type LogFields, type LogLevel } from "../../src/process/log.ts";
import { listClasses } from "../fuzz/fuzz_request.ts";
import { FuzzWorld } from "../fuzz/fuzz_world.ts";

const USER = "kontrola_sever";
const BURST = 20;

it("passes requests on to the shard that serves a lower tier", async () => {
  const log = new PassOnLog();
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
    const life = world.listLives()[index % 3]!;
    const request = world.buildRequest({
      classIndex,
      workspaceIndex: 0,
      tokens: 60,
      promptTokens: 0,
      streamed: true,
      once: false,
    });
    world.send(life, request);
  }
}

/** Counts requests that were passed on. */
class PassOnLog extends Log {
  count = 0;

  override write(_level: LogLevel, event: string, fields: LogFields): void {
    if (event === "request_step" && fields["step"] === "passed_on") {
      this.count++;
    }
  }
}
