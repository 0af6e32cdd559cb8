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

/** What a log needs. */
export interface RoarrLogOptions {
  clock: Clock;
  /** Events below this level are dropped. */
  level: LogLevel;
  /** Takes each line with its end; standard output by default. */
  writeLine?: (line: string) => void;
}

/** What travels in a roarr message. */
interface EventContext {
  time: string;
  level: LogLevel;
  fields: LogFields;
}

/**
 * One key=value line for each event. Roarr has one writer for a process, so
 * there is one log a process too: a later `create` replaces the writer.
 */
export class RoarrLog extends Log {
  readonly #clock: Clock;
  readonly #least: number;

  constructor(options: RoarrLogOptions) {
    super();
    this.#clock = options.clock;
    this.#least = LEVELS.indexOf(options.level);
    ROARR.serializeMessage = formatMessage;
    ROARR.write = options.writeLine ?? openStandardOutput();
  }

  static create(options: RoarrLogOptions): RoarrLog {
    return new RoarrLog(options);
  }

  write(level: LogLevel, event: string, fields: LogFields): void {
    if (LEVELS.indexOf(level) < this.#least) return;
    const time = new Date(this.#clock.wallTime()).toISOString();
    // Roarr expands `%` in a message, so the event travels as an argument.
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
