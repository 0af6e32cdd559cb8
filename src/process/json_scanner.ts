/**
 * Finds where a JSON text goes wrong. `JSON.parse` names no place for many
 * faults and takes a repeated key without a word.
 *
 * @module
 */

const WHITESPACE = /[ \t\r\n]*/y;
// deno-lint-ignore no-control-regex
const STRING = /"(?:[^"\\\u0000-\u001f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"/y;
const NUMBER = /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/y;
const LITERAL = /true|false|null/y;
const MAX_DEPTH = 64;

/** A fault in a JSON text, at a line and column counted from 1. */
export interface JsonFault {
  line: number;
  column: number;
  message: string;
}

/** Thrown inside the scanner only. */
class ScanStop extends Error {
  readonly offset: number;

  constructor(offset: number, message: string) {
    super(message);
    this.offset = offset;
  }
}

/** The first syntax fault or repeated key in `text`; undefined if none. */
export function findJsonFault(text: string): JsonFault | undefined {
  try {
    new Scanner(text).run();
    return undefined;
  } catch (thrown) {
    if (!(thrown instanceof ScanStop)) throw thrown;
    return { ...toPosition(text, thrown.offset), message: thrown.message };
  }
}

function toPosition(
  text: string,
  offset: number,
): { line: number; column: number } {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: before.at(-1)!.length + 1 };
}

class Scanner {
  readonly #text: string;
  #offset = 0;

  constructor(text: string) {
    this.#text = text;
  }

  run(): void {
    this.#readValue(0);
    this.#takePattern(WHITESPACE);
    if (this.#offset < this.#text.length) {
      this.#refuse("expected the end of the file");
    }
  }

  #readValue(depth: number): void {
    if (depth > MAX_DEPTH) this.#refuse(`nested deeper than ${MAX_DEPTH}`);
    this.#takePattern(WHITESPACE);
    const first = this.#text[this.#offset];
    if (first === "{") return this.#readObject(depth);
    if (first === "[") return this.#readArray(depth);
    if (first === '"') {
      this.#readString();
      return;
    }
    if (this.#takePattern(LITERAL) || this.#takePattern(NUMBER)) return;
    this.#refuse("expected a value");
  }

  #readObject(depth: number): void {
    const keys = new Set<string>();
    this.#offset++;
    if (this.#takeMark("}")) return;
    do {
      this.#takePattern(WHITESPACE);
      const start = this.#offset;
      const key = this.#readString();
      if (keys.has(key)) {
        throw new ScanStop(start, `key ${key} is given twice`);
      }
      keys.add(key);
      if (!this.#takeMark(":")) this.#refuse('expected ":"');
      this.#readValue(depth + 1);
    } while (this.#takeMark(","));
    if (!this.#takeMark("}")) this.#refuse('expected "," or "}"');
  }

  #readArray(depth: number): void {
    this.#offset++;
    if (this.#takeMark("]")) return;
    do {
      this.#readValue(depth + 1);
    } while (this.#takeMark(","));
    if (!this.#takeMark("]")) this.#refuse('expected "," or "]"');
  }

  #readString(): string {
    const start = this.#offset;
    if (this.#takePattern(STRING)) {
      return this.#text.slice(start, this.#offset);
    }
    const isString = this.#text[start] === '"';
    return this.#refuse(
      isString
        ? "this text in quotes does not end, or holds a wrong escape"
        : "expected a key in double quotes",
    );
  }

  #takeMark(mark: string): boolean {
    this.#takePattern(WHITESPACE);
    if (this.#text[this.#offset] !== mark) return false;
    this.#offset++;
    return true;
  }

  #takePattern(pattern: RegExp): boolean {
    pattern.lastIndex = this.#offset;
    const found = pattern.exec(this.#text)?.[0];
    if (found === undefined) return false;
    this.#offset += found.length;
    return true;
  }

  #refuse(message: string): never {
    const isAtEnd = this.#offset >= this.#text.length;
    const end = isAtEnd ? ", but the file ends here" : "";
    throw new ScanStop(this.#offset, `${message}${end}`);
  }
}
