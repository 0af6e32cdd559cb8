import { once } from "node:events";
import { createSocket } from "node:dgram";
import { describe, expect, it, vi } from "vitest";
import {
  parseReceiveDrops,
  readReceiveDrops,
} from "../../../src/process/seeded_fleet/receive_drops.ts";

const DATAGRAMS = 200;
const DATAGRAM_BYTES = 1_000;
const SMALL_BUFFER_BYTES = 4_096;

const SOCKETS = [
  "   sl  local_address rem_address   st tx_queue rx_queue tr tm->when " +
  "retrnsmt   uid  timeout inode ref pointer drops",
  "  101: 0102007F:1C20 00000000:0000 07 00000000:00000000 00:00000000 " +
  "00000000     0        0 4711 2 0000000000000000 17",
  "  102: 0202007F:1C20 00000000:0000 07 00000000:00000000 00:00000000 " +
  "00000000     0        0 4712 2 0000000000000000 0",
  "",
].join("\n");

describe("drops of a receive buffer", () => {
  it("are read from the line of the socket's address", () => {
    expect(parseReceiveDrops(SOCKETS, "127.0.2.1:7200")).toBe(17);
    expect(parseReceiveDrops(SOCKETS, "127.0.2.2:7200")).toBe(0);
  });

  it("are unknown for an address without a socket", () => {
    expect(parseReceiveDrops(SOCKETS, "127.0.2.3:7200")).toBeUndefined();
  });

  // Guards against datagrams that vanish between two VMs without any trace.
  it("count datagrams that a process was too slow to read", async () => {
    const receiver = createSocket({
      type: "udp4",
      recvBufferSize: SMALL_BUFFER_BYTES,
    });
    receiver.bind(0, "127.0.0.1");
    await once(receiver, "listening");
    let received = 0;
    receiver.on("message", () => received += 1);
    const { port } = receiver.address();
    const sender = createSocket("udp4");
    const sent = Array.from(
      { length: DATAGRAMS },
      () =>
        new Promise((resolve) => {
          sender.send(Buffer.alloc(DATAGRAM_BYTES), port, "127.0.0.1", resolve);
        }),
    );
    await Promise.all(sent);
    const dropped = await vi.waitFor(async () => {
      const count = await readReceiveDrops(`127.0.0.1:${port}`);
      expect(received + count!).toBe(DATAGRAMS);
      return count;
    });
    sender.close();
    receiver.close();
    expect(dropped).toBeGreaterThan(0);
  });
});
