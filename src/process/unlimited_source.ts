/**
 * Limits of workspaces where the records hold none.
 *
 * @module
 */
import { LimitSource } from "./services.ts";

/** Admits everything. */
export class UnlimitedSource extends LimitSource {
  static create(): UnlimitedSource {
    return new UnlimitedSource();
  }

  admit(): Promise<void> {
    return Promise.resolve();
  }

  settle(): void {}
}
