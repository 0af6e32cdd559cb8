/**
 * Text of a stand-in engine's answers: a pure function of prompt, model and
 * token index. Tests can thus check a resumed answer byte by byte and detect
 * an answer that belongs to another request.
 *
 * @module
 */

const CHARACTERS_PER_TOKEN = 4;
const LENGTH_MARKER = /\[\[tokens=(\d{1,6})\]\]/;
const MIN_DERIVED_TOKENS = 16;
const DERIVED_TOKENS_RANGE = 113;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

// Has multi-byte characters, so that a cut within a character is detected.
const WORDS = [
  "la",
  "oficina",
  "información",
  "señora",
  "día",
  "año",
  "público",
  "médico",
  "beneficio",
  "trámite",
  "número",
  "cédula",
  "también",
  "después",
  "niño",
  "según",
  "žádost",
  "vozidlo",
  "kontrola",
  "brzdy",
  "světla",
  "termín",
  "stanice",
  "řidič",
  "platí",
  "příští",
  "týden",
  "číslo",
  "emise",
  "závada",
  "účet",
  "hodina",
] as const;

/** Inputs that determine an answer. */
export interface AnswerInput {
  prompt: string;
  model: string;
  /** Limit on the whole answer, including resumed tokens. */
  maxTokens: number;
}

/** The complete answer to one prompt, as tokens. */
export class EngineAnswer {
  /** Number of tokens in the complete answer. */
  readonly length: number;
  readonly finishReason: "stop" | "length";
  readonly #seed: number;

  constructor(input: AnswerInput) {
    const uncappedLength = computeAnswerLength(input.prompt);
    this.length = Math.max(1, Math.min(uncappedLength, input.maxTokens));
    this.finishReason = this.length < uncappedLength ? "length" : "stop";
    this.#seed = computeHash(`${input.model}\n${input.prompt}`);
  }

  static create(input: AnswerInput): EngineAnswer {
    return new EngineAnswer(input);
  }

  /** Returns the token at the 0-based `index`. */
  getToken(index: number): string {
    if (index === 0) return this.#seed.toString(16).padStart(8, "0");
    const mixed = computeMix(this.#seed ^ Math.imul(index, 0x9e3779b1));
    return ` ${WORDS[mixed % WORDS.length]}`;
  }

  /** Returns the text of the tokens from `start` to `end`, excluding `end`. */
  getText(start = 0, end = this.length): string {
    let text = "";
    for (let index = start; index < end; index++) text += this.getToken(index);
    return text;
  }
}

/**
 * Length before `maxTokens`: from `[[tokens=N]]` in the prompt, else from a
 * hash.
 */
function computeAnswerLength(prompt: string): number {
  const markedLength = LENGTH_MARKER.exec(prompt)?.[1];
  if (markedLength !== undefined) return Math.max(1, Number(markedLength));
  return MIN_DERIVED_TOKENS + computeHash(prompt) % DERIVED_TOKENS_RANGE;
}

/** Estimates the number of tokens in `text`. */
export function countTextTokens(text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN);
}

function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return computeMix(hash);
}

function computeMix(value: number): number {
  let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
