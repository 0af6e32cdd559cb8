/**
 * Rows of docs/SETTINGS.md, computed from the schema.
 *
 * @module
 */
import { z } from "zod";
import { SETTINGS_SCHEMA } from "../../src/process/settings_schema.ts";

/** Parts of a JSON schema that the rows show. */
interface Node {
  type?: string;
  description?: string;
  default?: unknown;
  properties?: Record<string, Node>;
  required?: string[];
  items?: Node;
  oneOf?: Node[];
  anyOf?: Node[];
  const?: string;
}

/** Lists the rows `path | default | meaning`, in the schema's order. */
export function listSettingRows(): string[] {
  const root = z.toJSONSchema(SETTINGS_SCHEMA, { io: "input" }) as Node;
  return listRows(root, "");
}

function listRows(node: Node, path: string): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([key, child]) => {
    const isRequired = node.required?.includes(key) ?? false;
    return listChildRows(child, {
      path: path === "" ? key : `${path}.${key}`,
      isRequired,
    });
  });
}

function listChildRows(
  child: Node,
  options: { path: string; isRequired: boolean },
): string[] {
  const { path } = options;
  if (child.properties) return listRows(child, path);
  if (child.items?.properties) return listRows(child.items, `${path}[]`);
  if (child.oneOf) {
    return child.oneOf.flatMap((choice) => {
      const kind = choice.properties?.kind?.const ?? "";
      return listRows(choice, `${path} (${kind})`);
    });
  }
  return [
    `| \`${path}\` | ${formatDefault(child, options)} | ${
      child.description ?? ""
    } |`,
  ];
}

function formatDefault(
  child: Node,
  options: { isRequired: boolean },
): string {
  if (child.default !== undefined) {
    return `\`${JSON.stringify(child.default)}\``;
  }
  return options.isRequired ? "required" : "none";
}
