/**
 * Event log.
 *
 * @module
 */

/** Severity of an event. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of an event; undefined values are omitted. */
export type LogFields = Record<
  string,
  string | number | boolean | undefined
>;

/** Destination of events. */
export abstract class Log {
  abstract write(level: LogLevel, event: string, fields: LogFields): void;

  debug(event: string, fields: LogFields = {}): void {
    this.write("debug", event, fields);
  }

  info(event: string, fields: LogFields = {}): void {
    this.write("info", event, fields);
  }

  warn(event: string, fields: LogFields = {}): void {
    this.write("warn", event, fields);
  }

  error(event: string, fields: LogFields = {}): void {
    this.write("error", event, fields);
  }
}

/** Discards every event. */
export class SilentLog extends Log {
  static create(): SilentLog {
    return new SilentLog();
  }

  write(): void {}
}
