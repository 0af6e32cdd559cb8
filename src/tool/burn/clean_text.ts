/**
 * Names from records, logs and files, made fit to be shown.
 *
 * @module
 */

/** A control or a change of the writing direction among them could paint over
 * other text, or make one name look like another. */
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

/** One line of text without controls. */
export function toPlainText(text: string): string {
  return text.replace(BREAKS, " ").replace(UNSAFE, REPLACEMENT);
}

/** Text that is safe in an element's content and in a quoted attribute. */
export function toHtmlText(text: string): string {
  return toPlainText(text).replace(/[&<>"']/g, (found) => ENTITIES[found]!);
}
