/**
 * Whether something still takes connections at an endpoint.
 *
 * @module
 */
import { connect } from "node:net";
import type { Clock } from "../process/clock.ts";
import type { SocketAddress } from "./endpoint.ts";

/**
 * Connects and sends nothing. False where the connection is refused, or does
 * not stand within `limitMs` milliseconds; never rejects.
 */
export function isListening(
  { address, port }: SocketAddress,
  options: { clock: Clock; limitMs: number },
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, address);
    const settle = (isOpen: boolean) => {
      cancelTimer();
      socket.destroy();
      resolve(isOpen);
    };
    const cancelTimer = options.clock.startTimer(
      options.limitMs,
      () => settle(false),
    );
    socket.on("connect", () => settle(true));
    socket.on("error", () => settle(false));
  });
}
