/**
 * Prints the control-plane cost at several fleet sizes: a table, the fitted
 * lines and JSON. Run with `--expose-gc` for exact heap figures.
 *
 * @module
 */
import {
  computeLine,
  type ControlFigures,
  runFleetControl,
} from "./fleet_control.ts";

const SIZES = [8, 16, 32, 64];
const LARGE = 380;
const RUN_MS = 60_000;
const LARGE_RUN_MS = 20_000;

type Column = Exclude<keyof ControlFigures, "vms">;

const figures: ControlFigures[] = [];
for (const size of SIZES) figures.push(await runFleetControl(size, RUN_MS));
const large = await runFleetControl(LARGE, LARGE_RUN_MS);
const columns = Object.keys(large).filter((name) => name !== "vms") as Column[];

writeLine(["vms", ...columns].join("  "));
for (const row of [...figures, large]) {
  const cells = columns.map((name) =>
    formatFigure(row[name]).padStart(name.length)
  );
  writeLine([String(row.vms).padStart(3), ...cells].join("  "));
}
for (const name of columns) {
  const { slope, start } = computeLine(
    figures.map((row) => [row.vms, row[name]]),
  );
  const atLarge = formatFigure(start + slope * LARGE);
  writeLine(
    `${name}: ${formatFigure(start)} + ${slope.toPrecision(3)} per VM; ` +
      `line at ${LARGE}: ${atLarge}, measured: ${formatFigure(large[name])}`,
  );
}
writeLine(JSON.stringify([...figures, large]));

function formatFigure(value: number): string {
  return value.toFixed(Math.abs(value) < 10 ? 3 : 0);
}

function writeLine(text: string): void {
  process.stdout.write(`${text}\n`);
}
