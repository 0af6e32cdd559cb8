/**
 * Cuts a daemon's connections to replicas as a file says. Loaded before the
 * daemon, whose code does not change for it.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { Socket, type TcpNetConnectOpts } from "node:net";
import process from "node:process";
import {
  CLOSED_PORT,
  CuttableLinks,
  type LinkCut,
} from "../support/cuttable_links.ts";
import {
  LINKS_FILE_VARIABLE,
  REPLICA_HOST,
  STORE_PORT_VARIABLE,
} from "./link_variables.ts";

const READ_INTERVAL_MS = 25;

const file = process.env[LINKS_FILE_VARIABLE] ?? "";
const storePort = Number(process.env[STORE_PORT_VARIABLE]);
const links = CuttableLinks.create();
let current = "";

/** What `Socket.connect` is given: by Node itself, options in a list. */
type ConnectArguments = [TcpNetConnectOpts | [TcpNetConnectOpts, unknown]];

const connect = Socket.prototype.connect as unknown as (
  ...given: ConnectArguments
) => Socket;

// All connections go through this method.
Socket.prototype.connect = function (
  this: Socket,
  ...given: ConnectArguments
): Socket {
  const [first] = given;
  const options = Array.isArray(first) ? first[0] : first;
  const { host, port } = options;
  if (host !== REPLICA_HOST || port === storePort) {
    return connect.apply(this, given);
  }
  const cut = links.getCut(port);
  if (cut === "silent") return this;
  if (cut === undefined || cut === "held") links.add(this, port);
  else return connect.apply(this, [{ ...options, port: CLOSED_PORT }]);
  return connect.apply(this, given);
} as unknown as typeof Socket.prototype.connect;

setInterval(applyFile, READ_INTERVAL_MS).unref();

function applyFile(): void {
  const wanted = readFileSync(file, "utf8").trim();
  if (wanted === current) return;
  current = wanted;
  if (wanted === "") links.heal();
  else links.cut(wanted as LinkCut);
}
