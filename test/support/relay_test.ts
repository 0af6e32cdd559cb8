import { createServer } from "node:net";
import { expect, it, onTestFinished } from "vitest";
import { LOOPBACK, RawClient } from "./loopback.ts";
import { Relay } from "./relay.ts";

const DELAY_MS = 50;

/** A server that sends what it is told to, behind a relay. */
async function createRelayed() {
  let send: (text: string) => void = () => {};
  let end: () => void = () => {};
  const server = createServer((socket) => {
    socket.on("error", () => {});
    send = (text) => void socket.write(text);
    end = () => socket.end();
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
  };
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// Guards against a relay that mixes up the bytes of a connection.
it("a delay that ends holds no bytes back behind later ones", async () => {
  const { relay, client, send } = await createRelayed();
  relay.setDelay(DELAY_MS);
  send("1");
  await sleep(DELAY_MS / 2);
  relay.setDelay(0);
  send("2");
  await sleep(2 * DELAY_MS);
  expect(client.received).toBe("12");
});

it("an end comes after what is held back", async () => {
  const { relay, client, send, end } = await createRelayed();
  relay.setDelay(DELAY_MS);
  send("1");
  await sleep(DELAY_MS / 2);
  relay.setDelay(0);
  end();
  await client.waitClosed();
  expect(client.received).toBe("1");
});
