/**
 * Connections whose unsent bytes must not arrive any more.
 *
 * @module
 */
import type { Socket } from "node:net";

/**
 * Makes a later `destroy` reset the connection. A connection that is closed in
 * order still delivers what was written, even minutes later. `resetAndDestroy`
 * would wait for these bytes or begin the orderly close, which then refuses the
 * reset. TLS connections cannot be reset.
 */
export function setResetOnDestroy(socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true });
}
