/**
 * The daemon's log, written through roarr to standard output.
 *
 * @module
 */
import "./enable_roarr.ts";
import process from "node:process";
import { type Message, ROARR, Roarr } from "roarr";
import type { Clock } from "./clock.ts";
import { LineWriter } from "./line_writer.ts";
import { Log, type LogFields, type LogLevel } from "./log.ts";
import { formatLogLine } from "./log_line.ts";

const LEVELS: readonly LogLevel[] = ["debug", "info", "warn", "error"];

/** Options of `RoarrLog`. */
export interface RoarrLogOptions {
  clock: Clock;
  /** Minimum level; events below it are discarded. */
  level: LogLevel;
  /** Writes a line including its line end; standard output by default. */
  writeLine?: (line: string) => void;
}

/** Context of a roarr message. */
interface EventContext {
  time: string;
  level: LogLevel;
  fields: LogFields;
}

/**
 * Writes one key=value line per event. Roarr has one writer per process, so a
 * later `create` replaces the writer of the earlier one.
 */
export class RoarrLog extends Log {
  readonly #clock: Clock;
  readonly #minLevelIndex: number;

  constructor(options: RoarrLogOptions) {
    super();
    this.#clock = options.clock;
    this.#minLevelIndex = LEVELS.indexOf(options.level);
    ROARR.serializeMessage = formatMessage;
    ROARR.write = options.writeLine ?? openStandardOutput();
  }

  static create(options: RoarrLogOptions): RoarrLog {
    return new RoarrLog(options);
  }

  write(level: LogLevel, event: string, fields: LogFields): void {
    if (LEVELS.indexOf(level) < this.#minLevelIndex) return;
    const time = new Date(this.#clock.wallTime()).toISOString();
    // Roarr expands `%` in a message, so the event is passed as an argument.
    Roarr[level]({ time, level, fields }, "%s", event);
  }
}

function formatMessage(message: Message): string {
  const context = message.context as unknown as EventContext;
  const { time, level, fields } = context;
  return formatLogLine({ time, level, event: message.message, fields }) + "\n";
}

function openStandardOutput(): (line: string) => void {
  const writer = LineWriter.create(process.stdout);
  process.on("exit", () => writer.flush());
  return (line) => writer.write(line);
}
