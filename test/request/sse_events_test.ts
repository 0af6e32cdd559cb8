import { expect, it } from "vitest";
import { listEvents } from "../../src/request/sse_events.ts";

it.each(["\n", "\r\n", "\r"])("lists events whose lines end in %j", (end) => {
  const raw = ["one", "two"].map((data) => `data: ${data}${end}${end}`);
  const events = listEvents(Buffer.from(raw.join("")));
  expect(events.map(({ data }) => data)).toEqual(["one", "two"]);
  expect(events.map((each) => Buffer.from(each.raw).toString())).toEqual(raw);
});
