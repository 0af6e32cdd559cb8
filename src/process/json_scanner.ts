/**
 * Locates errors in JSON text. `JSON.parse` reports no position for many errors
 * and accepts duplicate keys.
 *
 * @module
 */

const WHITESPACE = /[ \t\r\n]*/y;
// deno-lint-ignore no-control-regex
const STRING = /"(?:[^"\\\u0000-\u001f]|\\(?:["\\/bfnrt]|u[0-9a-fA-F]{4}))*"/y;
const NUMBER = /-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][+-]?[0-9]+)?/y;
const LITERAL = /true|false|null/y;
const MAX_DEPTH = 64;

/** An error in JSON text. Line and column start at 1. */
export interface JsonError {
  line: number;
  column: number;
  message: string;
}

/** Internal error that stops the scanner. */
class ScanError extends Error {
  readonly offset: number;

  constructor(offset: number, message: string) {
    super(message);
    this.offset = offset;
  }
}

/** Finds the first syntax error or duplicate key; undefined if none. */
export function findJsonError(text: string): JsonError | undefined {
  try {
    new Scanner(text).run();
    return undefined;
  } catch (thrown) {
    if (!(thrown instanceof ScanError)) throw thrown;
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
    if (this.#takeToken("}")) return;
    do {
      this.#takePattern(WHITESPACE);
      const start = this.#offset;
      const key = this.#readString();
      if (keys.has(key)) {
        throw new ScanError(start, `duplicate key ${key}`);
      }
      keys.add(key);
      if (!this.#takeToken(":")) this.#refuse('expected ":"');
      this.#readValue(depth + 1);
    } while (this.#takeToken(","));
    if (!this.#takeToken("}")) this.#refuse('expected "," or "}"');
  }

  #readArray(depth: number): void {
    this.#offset++;
    if (this.#takeToken("]")) return;
    do {
      this.#readValue(depth + 1);
    } while (this.#takeToken(","));
    if (!this.#takeToken("]")) this.#refuse('expected "," or "]"');
  }

  #readString(): string {
    const start = this.#offset;
    if (this.#takePattern(STRING)) {
      return this.#text.slice(start, this.#offset);
    }
    const isString = this.#text[start] === '"';
    return this.#refuse(
      isString
        ? "unterminated string or invalid escape sequence"
        : "expected a key in double quotes",
    );
  }

  #takeToken(token: string): boolean {
    this.#takePattern(WHITESPACE);
    if (this.#text[this.#offset] !== token) return false;
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
    throw new ScanError(this.#offset, `${message}${end}`);
  }
}
