/**
 * Logs: one line of key=value pairs for each event.
 *
 * @module
 */

/** How much an event matters. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** The pairs of one line; undefined values are left out. */
export type LogFields = Record<
  string,
  string | number | boolean | undefined
>;

/** Where events go. */
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

/** Drops every event; for tests and benches. */
export class SilentLog extends Log {
  static create(): SilentLog {
    return new SilentLog();
  }

  write(): void {}
}
