/**
 * Free ports on loopback.
 *
 * @module
 */
import { type AddressInfo, createServer, type Server } from "node:net";

/** Finds `count` distinct free ports on loopback. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index++) servers.push(await openServer());
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map(closeServer));
  return ports;
}

function openServer(): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once("error", reject);
    server.listen(0, "127.0.0.1", () => resolve(server));
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => server.close(() => resolve()));
}
