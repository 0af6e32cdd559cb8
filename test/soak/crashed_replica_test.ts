import { expect, it, onTestFinished } from "vitest";
import { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { RawClient } from "../support/loopback.ts";
import { Relay } from "../support/relay.ts";
import { cutCrashed } from "./crashed_replica.ts";

// Guards against a soak whose replica ends a stream without a length in order
// between two events, so that it is whole, because it crashes after its mode has
// changed.
it("a crash resets streams without a length, whatever the mode is now", async () => {
  const standIn = ReplicaStandIn.create("i-1");
  Object.assign(standIn, { mode: "unframed", eventGapMs: 100 });
  const relay = await Relay.create(await standIn.start());
  onTestFinished(() => standIn.stop());
  const client = RawClient.create(relay.port);
  client.socket.write(
    "GET /stream/x HTTP/1.1\r\nhost: a\r\nx-request-id: r-4\r\n" +
      "x-expect-instance: i-1\r\n\r\n",
  );
  await client.waitFor("id: 1\n");
  standIn.mode = "answer";
  await cutCrashed({ standIn, relay });
  await client.waitClosed();
  expect(client.socket.errored).toMatchObject({ code: "ECONNRESET" });
});
