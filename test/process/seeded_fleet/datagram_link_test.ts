import { expect, it, onTestFinished, vi } from "vitest";
import { findFreePorts } from "../../../demo/free_ports.ts";
import { UdpLink } from "../../../src/process/seeded_fleet/index.ts";
import { SilentLog } from "../../../src/process/log.ts";

const ADDRESS = "127.0.0.1";
/** What the owner of a pool gets within half a second in a fleet of 89 VMs. */
const DATAGRAMS = 300;
const DATAGRAM_BYTES = 1_000;
/** Above what UDP can carry. */
const TOO_LARGE_BYTES = 65_536;

async function openLink(): Promise<{ link: UdpLink; port: number }> {
  const [port] = await findFreePorts(1);
  const link = await UdpLink.open(ADDRESS, port!, SilentLog.create());
  onTestFinished(() => link.close());
  return { link, port: port! };
}

// Guards against heartbeats that the kernel drops while a VM is too busy to read
// its socket, after which live VMs are taken for silent.
it("datagrams of half a second wait for a VM that reads late", async () => {
  const sender = await openLink();
  const receiver = await openLink();
  let received = 0;
  receiver.link.onDatagram(() => received += 1);
  for (let index = 0; index < DATAGRAMS; index++) {
    sender.link.send(
      `${ADDRESS}:${receiver.port}`,
      Buffer.alloc(DATAGRAM_BYTES),
    );
  }
  await vi.waitFor(async () => {
    const dropped = await receiver.link.readReceiveDrops() ?? 0;
    expect(received + dropped).toBe(DATAGRAMS);
  });
  expect(received).toBe(DATAGRAMS);
  expect(receiver.link.totals.received).toBe(DATAGRAMS);
});

// Guards against a message that never leaves its VM, without a trace.
it("a datagram that is too large counts as failed", async () => {
  const { link, port } = await openLink();
  link.send(`${ADDRESS}:${port}`, Buffer.alloc(TOO_LARGE_BYTES));
  await vi.waitFor(() => expect(link.totals.failed).toBe(1));
  expect(link.lastError?.message).toContain("EMSGSIZE");
});
