/**
 * Bundles the platform's daemon into one file, because a process that is loaded
 * from many files spends most of its startup reading and resolving them.
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
  // CommonJS packages in the bundle call `require`.
  banner: {
    js: 'import { createRequire } from "node:module";' +
      "const require = createRequire(import.meta.url);",
  },
});
