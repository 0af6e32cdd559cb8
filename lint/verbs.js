/**
 * A `deno lint` plugin: the names of top-level functions and of methods must
 * begin with a verb of lint/verb_list.ts. Constructors, accessors and methods
 * marked `override` are exempt, because their names are defined elsewhere.
 *
 * @module
 */
import { ALLOWED_NAMES, VERBS } from "./verb_list.ts";

const FIRST_WORD = /^[a-z]+/;

function isAllowed(name) {
  if (ALLOWED_NAMES.includes(name)) return true;
  const word = FIRST_WORD.exec(name)?.[0];
  return word !== undefined && VERBS.includes(word);
}

function checkName(context, key) {
  if (key.type !== "Identifier" && key.type !== "PrivateIdentifier") return;
  if (isAllowed(key.name)) return;
  context.report({
    node: key,
    message: `"${key.name}" does not begin with a verb of docs/VERBS.md`,
  });
}

function checkMethod(context, node) {
  if (node.kind !== "method" || node.override || node.computed) return;
  checkName(context, node.key);
}

function isTopLevel(node) {
  const parent = node.parent.type;
  return parent === "Program" || parent === "ExportNamedDeclaration";
}

// Deno loads a plugin only from the default export of its module.
export default {
  name: "persimmonslip",
  rules: {
    "verb-first": {
      create(context) {
        return {
          FunctionDeclaration(node) {
            if (isTopLevel(node) && node.id) checkName(context, node.id);
          },
          MethodDefinition(node) {
            checkMethod(context, node);
          },
          TSAbstractMethodDefinition(node) {
            checkMethod(context, node);
          },
        };
      },
    },
  },
};
