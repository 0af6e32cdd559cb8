/**
 * Checks whether an endpoint accepts TCP connections.
 *
 * @module
 */
import { connect } from "node:net";
import type { OpenConnection } from "./upstream_agent.ts";
import type { Clock } from "../process/clock.ts";
import type { SocketAddress } from "./endpoint.ts";
import { startSilenceTimer } from "./silence_timer.ts";

/**
 * Connects without sending anything. False if the connection is refused or not
 * established within `timeoutMs`; never rejects.
 */
export function isListening(
  { address, port }: SocketAddress,
  options: {
    clock: Clock;
    timeoutMs: number;
    /** `net.connect` by default. */
    openConnection?: OpenConnection | undefined;
  },
): Promise<boolean> {
  const { openConnection = connect } = options;
  return new Promise((resolve) => {
    const socket = openConnection({ host: address, port });
    const settle = (isOpen: boolean) => {
      cancelTimer();
      socket.destroy();
      resolve(isOpen);
    };
    const cancelTimer = startSilenceTimer(
      options.clock,
      options.timeoutMs,
      () => settle(false),
    );
    socket.on("connect", () => settle(true));
    socket.on("error", () => settle(false));
  });
}
