/**
 * Limit source for fleets whose configuration has no workspace limits.
 *
 * @module
 */
import { LimitSource } from "./services.ts";

/** Admits every request. */
export class UnlimitedSource extends LimitSource {
  static create(): UnlimitedSource {
    return new UnlimitedSource();
  }

  admit(): Promise<void> {
    return Promise.resolve();
  }

  settle(): void {}
}
