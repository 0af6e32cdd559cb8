/**
 * Sanitizes names from records, logs and files for display.
 *
 * @module
 */

/**
 * Control characters and changes of the writing direction, which could
 * overwrite other text or make one name look like another.
 */
const UNSAFE = new RegExp(
  "[\\u0000-\\u0008\\u000b-\\u001f\\u007f-\\u009f\\u2028\\u2029" +
    "\\u200e\\u200f\\u202a-\\u202e\\u2066-\\u2069\\ufeff]",
  "g",
);
const BREAKS = /[\t\n]/g;
const REPLACEMENT = "�";

const ENTITIES: Readonly<Record<string, string>> = {
  "&": "&amp;",
  "<": "&lt;",
  ">": "&gt;",
  '"': "&quot;",
  "'": "&#39;",
};

/** Converts text to one line without unsafe characters. */
export function toPlainText(text: string): string {
  return text.replace(BREAKS, " ").replace(UNSAFE, REPLACEMENT);
}

/** Escapes text for use in HTML content and quoted attributes. */
export function toHtmlText(text: string): string {
  return toPlainText(text).replace(/[&<>"']/g, (found) => ENTITIES[found]!);
}
