import { createServer } from "node:net";
import { expect, it, onTestFinished } from "vitest";
import { LOOPBACK, RawClient } from "./loopback.ts";
import { Relay } from "./relay.ts";

const DELAY_MS = 50;

/** A server behind a relay, with functions to send and to end. */
async function createRelayed() {
  let send: (text: string) => void = () => {};
  let end: () => void = () => {};
  let reset: () => void = () => {};
  const server = createServer((socket) => {
    socket.on("error", () => {});
    send = (text) => void socket.write(text);
    end = () => socket.end();
    reset = () => socket.resetAndDestroy();
  });
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  onTestFinished(() => void server.close());
  const { port } = server.address() as { port: number };
  const relay = await Relay.create(port);
  onTestFinished(() => relay.close());
  const client = RawClient.create(relay.port);
  await new Promise((resolve) => server.once("connection", resolve));
  return {
    relay,
    client,
    send: (text: string) => send(text),
    end: () => end(),
    reset: () => reset(),
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// Guards against a relay that reorders the bytes of a connection.
it("keeps the order of bytes when the delay ends", async () => {
  const { relay, client, send } = await createRelayed();
  relay.setDelay(DELAY_MS);
  send("1");
  await sleep(DELAY_MS / 2);
  relay.setDelay(0);
  send("2");
  await sleep(2 * DELAY_MS);
  expect(client.received).toBe("12");
});

it("ends a connection only after delayed bytes", async () => {
  const { relay, client, send, end } = await createRelayed();
  relay.setDelay(DELAY_MS);
  send("1");
  await sleep(DELAY_MS / 2);
  relay.setDelay(0);
  end();
  await client.waitClosed();
  expect(client.received).toBe("1");
});

// Guards against a relay that passes a reset on as an orderly end, by which an
// answer without a length looks complete.
it("passes a reset on as a reset", async () => {
  const { client, send, reset } = await createRelayed();
  send("1");
  await client.waitFor("1");
  const error = new Promise((resolve) => client.socket.once("error", resolve));
  reset();
  await client.waitClosed();
  expect(client.socket.errored).toMatchObject({ code: "ECONNRESET" });
  await error;
});
