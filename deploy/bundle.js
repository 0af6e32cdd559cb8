/**
 * Bundles the platform's daemon into one file: a process that starts from many
 * files spends most of its start on reading and resolving them.
 *
 * @module
 */
import { build } from "esbuild";

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/persimmonslip-platform.js",
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minify: true,
  // CommonJS packages within the bundle call `require`.
  banner: {
    js: 'import { createRequire } from "node:module";' +
      "const require = createRequire(import.meta.url);",
  },
});
