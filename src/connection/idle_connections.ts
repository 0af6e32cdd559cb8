/**
 * Connections of an agent that wait for their next call.
 *
 * @module
 */
import type { Duplex } from "node:stream";

/** Listeners of the connections that are idle. */
const idle = new WeakMap<Duplex, () => void>();

/**
 * Closes the connection if anything arrives on it: what nobody asked for belongs
 * to no answer, and may go on without end.
 */
export function watchIdle(connection: Duplex): void {
  const onData = () => void connection.destroy();
  idle.set(connection, onData);
  connection.on("data", onData);
}

/** Call before the connection is used again. */
export function clearIdle(connection: Duplex): void {
  const onData = idle.get(connection);
  if (onData === undefined) return;
  idle.delete(connection);
  connection.off("data", onData);
}
