/**
 * What a stand-in engine answers: a pure function of prompt, model and index,
 * so that a resumed answer is byte-exact and a mixed-up one is noticed.
 *
 * @module
 */

const CHARACTERS_PER_TOKEN = 4;
const LENGTH_MARKER = /\[\[tokens=(\d{1,6})\]\]/;
const LEAST_HASHED_LENGTH = 16;
const HASHED_LENGTHS = 113;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

// Letters of several bytes, so that a cut inside a character is noticed.
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

/** What decides an answer. */
export interface AnswerInput {
  prompt: string;
  model: string;
  /** A cap on the whole answer, resumed tokens included. */
  maxTokens: number;
}

/** The whole answer to one prompt, token by token. */
export class EngineAnswer {
  /** Tokens in the whole answer. */
  readonly length: number;
  readonly finishReason: "stop" | "length";
  readonly #seed: number;

  constructor(input: AnswerInput) {
    const wanted = computeAnswerLength(input.prompt);
    this.length = Math.max(1, Math.min(wanted, input.maxTokens));
    this.finishReason = this.length < wanted ? "length" : "stop";
    this.#seed = computeHash(`${input.model}\n${input.prompt}`);
  }

  static create(input: AnswerInput): EngineAnswer {
    return new EngineAnswer(input);
  }

  /** The token at `index`, which counts from 0. */
  getToken(index: number): string {
    if (index === 0) return this.#seed.toString(16).padStart(8, "0");
    const mixed = computeMix(this.#seed ^ Math.imul(index, 0x9e3779b1));
    return ` ${WORDS[mixed % WORDS.length]}`;
  }

  /** The text of the tokens from `start` up to, not including, `end`. */
  getText(start = 0, end = this.length): string {
    let text = "";
    for (let index = start; index < end; index++) text += this.getToken(index);
    return text;
  }
}

/** Tokens of the answer without a cap: `[[tokens=N]]` in the prompt, or a hash. */
function computeAnswerLength(prompt: string): number {
  const marked = LENGTH_MARKER.exec(prompt)?.[1];
  if (marked !== undefined) return Math.max(1, Number(marked));
  return LEAST_HASHED_LENGTH + computeHash(prompt) % HASHED_LENGTHS;
}

/** Tokens that a text counts for. */
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
