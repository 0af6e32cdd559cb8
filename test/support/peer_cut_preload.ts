/**
 * Loses a daemon's datagrams while a file exists. Loaded before the daemon,
 * whose code does not change for it.
 *
 * @module
 */
import { Socket } from "node:dgram";
import { existsSync } from "node:fs";
import process from "node:process";
import { PEER_CUT_VARIABLE } from "./peer_cut_variable.ts";

const CHECK_INTERVAL_MS = 5;

const file = process.env[PEER_CUT_VARIABLE] ?? "";
let isCut = false;

setInterval(() => isCut = existsSync(file), CHECK_INTERVAL_MS).unref();

type Send = (...given: unknown[]) => void;

const emit = Socket.prototype.emit as (...given: unknown[]) => boolean;
const send = Socket.prototype.send as Send;

Socket.prototype.send = function (this: Socket, ...given: unknown[]) {
  if (!isCut) return send.apply(this, given);
  const onSent = given.at(-1);
  if (typeof onSent === "function") onSent(null, 0);
} as typeof Socket.prototype.send;

Socket.prototype.emit = function (this: Socket, ...given: unknown[]) {
  return isCut && given[0] === "message" ? true : emit.apply(this, given);
} as typeof Socket.prototype.emit;
