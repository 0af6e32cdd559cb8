/**
 * Renders a settings template with fields, as the platform does: values, values
 * as JSON, and sections that are left out where there is no value.
 *
 * @module
 */

const SECTION = /\{\{#([\w.-]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
const VALUE = /\{\{([\w.-]+)(\|json)?\}\}/g;

/** Fields of the platform's settings, by name. */
export type Fields = Record<string, unknown>;

/** Renders `template` with `fields`. */
export function renderTemplate(template: string, fields: Fields): string {
  return template
    .replace(SECTION, (_all, name: string, inner: string) => {
      const value = findField(fields, name);
      return value === undefined || value === false ? "" : inner;
    })
    .replace(VALUE, (_all, name: string, json?: string) => {
      const value = findField(fields, name);
      if (json !== undefined) return JSON.stringify(value);
      return value === undefined ? "" : String(value);
    });
}

function findField(fields: Fields, name: string): unknown {
  return name.split(".").reduce<unknown>(
    (value, part) => (value as Fields | undefined)?.[part],
    fields,
  );
}
