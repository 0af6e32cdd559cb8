import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { parseJsonBody } from "../../src/connection/index.ts";
import { RefusalError } from "../../src/outcome.ts";

const LIMITS = { maxDepth: 8, maxKeys: 20 };

function parse(text: string | Uint8Array): Record<string, unknown> {
  return parseJsonBody(
    typeof text === "string" ? Buffer.from(text) : text,
    LIMITS,
  );
}

/** Returns the refusal of `text`; any other error fails the test. */
function findRefusal(text: string | Uint8Array): unknown {
  try {
    parse(text);
    return undefined;
  } catch (thrown) {
    if (!(thrown instanceof RefusalError)) throw thrown;
    return thrown.refusal;
  }
}

const HOSTILE: [string, string | Uint8Array][] = [
  ["nothing", ""],
  ["blanks", " \n\t"],
  ["a list", "[]"],
  ["null", "null"],
  ["a number", "1"],
  ["a string", '"text"'],
  ["an open brace", "{"],
  ["an open string", '{"a'],
  ["an escaped closing quote", '{"a\\":1}'],
  ["a trailing comma", '{"a":1,}'],
  ["two values", '{"a":1}{"a":1}'],
  ["single quotes", "{'a':1}"],
  ["a bare word", "{a:1}"],
  ["a control character in a string", '{"a":"\u0001"}'],
  ["not a number", '{"a":NaN}'],
  ["a byte that is not UTF-8", Uint8Array.of(0x7b, 0xff, 0x7d)],
  ["an overlong encoding", Buffer.from('{"a":"\xc0\xaf"}', "latin1")],
  [
    "half a surrogate pair in UTF-8",
    Buffer.from('{"a":"\xed\xa0\x80"}', "latin1"),
  ],
  ["UTF-16", Buffer.from('{"a":1}', "utf16le")],
  ["a key twice", '{"a":1,"a":2}'],
  ["a key twice, once escaped", '{"a":1,"\\u0061":2}'],
  ["a nested key twice", '{"x":[{"a":1,"b":{},"a":2}]}'],
  ["a prototype key", '{"__proto__":{"x":1}}'],
  ["an escaped prototype key", '{"x":{"\\u005f_proto__":1}}'],
  ["lists too deep", `{"a":${"[".repeat(8)}${"]".repeat(8)}}`],
  ["objects too deep", `${'{"a":'.repeat(9)}1${"}".repeat(9)}`],
  ["a million open lists", "[".repeat(1_000_000)],
  [
    "too many keys",
    JSON.stringify(Object.fromEntries(
      Array.from({ length: 21 }, (_, index) => [`k${index}`, 0]),
    )),
  ],
];

describe("parseJsonBody", () => {
  it.each(HOSTILE)("refuses %s", (_, text) => {
    expect(findRefusal(text)).toMatchObject({
      code: "bad_request",
      outcome: "not_run",
    });
  });

  it.each([
    ["equal keys of different objects", '{"a":{"b":1},"c":[{"b":1},{"b":1}]}'],
    ["a value that equals a key", '{"a":"a","b":["a","a"]}'],
    ["brackets, colons and quotes in strings", '{"a":"[{\\":,\\\\","b":"}]"}'],
    ["a string that ends in a backslash", '{"a\\\\":1,"a":"\\\\"}'],
    ["the maximum depth", `{"a":${"[".repeat(7)}${"]".repeat(7)}}`],
    ["an empty key", '{"":1}'],
    ["blanks around all tokens", ' { "a" : [ 1 , 2 ] , "b" : "" } '],
  ])("accepts %s", (_, text) => {
    expect(parse(text)).toEqual(JSON.parse(text));
  });

  it("parses output of JSON.stringify to the same value", () => {
    const options = { maxDepth: 4, maxKeys: 4 };
    fc.assert(
      fc.property(
        fc.dictionary(
          fc.string().filter((key) => key !== "__proto__"),
          fc.jsonValue(options),
          { maxKeys: 4 },
        ),
        (value) => {
          const text = JSON.stringify(value);
          fc.pre(!text.includes("__proto__"));
          const limits = { maxDepth: 16, maxKeys: 100_000 };
          expect(parseJsonBody(Buffer.from(text), limits)).toEqual(
            JSON.parse(text),
          );
        },
      ),
      { seed: 1, numRuns: 1_000 },
    );
  });

  it("returns an object or throws a refusal for any bytes", () => {
    const piece = fc.constantFrom(
      ...["{", "}", "[", "]", ":", ",", '"', "\\", "a", "1", " ", "\\u0061"],
      '"a"',
      '"__proto__"',
      "null",
      "\u00e9",
    );
    fc.assert(
      fc.property(
        fc.oneof(
          fc.uint8Array({ maxLength: 64 }),
          fc.array(piece, { maxLength: 40 }).map((pieces) => {
            return Buffer.from(pieces.join(""));
          }),
        ),
        (bytes) => {
          const refusal = findRefusal(bytes);
          if (refusal !== undefined) {
            expect(refusal).toMatchObject({ code: "bad_request" });
            return;
          }
          expect(parse(bytes)).toEqual(
            JSON.parse(new TextDecoder().decode(bytes)),
          );
        },
      ),
      { seed: 2, numRuns: 5_000 },
    );
  });
});
