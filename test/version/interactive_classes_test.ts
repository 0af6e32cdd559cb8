import { expect, it } from "vitest";
import { type ClassName, toId } from "../../src/ids.ts";
import type { RequestClass } from "../../src/version/records.ts";
import type { Route, RouteKind } from "../../src/version/routes.ts";
import { findInteractiveClasses } from "../../src/version/interactive_classes.ts";

const POOL = toId<Route["targets"][number]["pool"]>("model");

function find(streams: [name: string, pauseMs: number, kind?: RouteKind][]) {
  const routes = streams.map(([name, , kind]) => ({
    className: toId<ClassName>(name),
    kind: kind ?? "resumable_stream",
    targets: [{ pool: POOL, weight: 1 }],
  } as Route));
  const classes = streams.map(([name, betweenTokensMs]) =>
    [toId(name), { targets: { betweenTokensMs } }] as [ClassName, RequestClass]
  );
  return [...findInteractiveClasses(routes, new Map(classes))];
}

it("returns the classes with the shortest inter-token targets of a pool", () => {
  const found = find([["draft", 800], ["question", 300], ["letter", 200]]);
  expect(found).toEqual(["letter"]);
});

it("returns no classes if all streams have similar targets", () => {
  expect(find([["draft", 300], ["letter", 290]])).toEqual([]);
});

it("ignores calls that are not streams", () => {
  const found = find([["lookup", 10, "idempotent_call"], ["draft", 300]]);
  expect(found).toEqual([]);
});
