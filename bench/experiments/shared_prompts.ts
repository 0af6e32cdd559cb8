/**
 * Extends the common prefix of the prompts of one workspace and class.
 *
 * @module
 */
import { PREFIX_BLOCK_CHARACTERS } from "../../src/request/prompt_prefixes.ts";
import { EngineAnswer } from "../../standin/engine_answer.ts";
import type { BenchRequest } from "../support/workload.ts";

const CHARACTERS_PER_TOKEN = 4;
/** Length of the common prefix that the workload's prompts already have. */
export const MIN_SHARED_TOKENS = 512;

/** Counts the complete prefix blocks within the common prefix. */
export function countSharedBlocks(sharedTokens: number): number {
  return Math.floor(
    sharedTokens * CHARACTERS_PER_TOKEN / PREFIX_BLOCK_CHARACTERS,
  );
}

/** Prepends a common text to the request's prompt. */
export function addSharedPrompt(
  request: BenchRequest,
  sharedTokens: number,
): void {
  const extra = (sharedTokens - MIN_SHARED_TOKENS) * CHARACTERS_PER_TOKEN;
  if (extra <= 0) return;
  const start = `${request.workspace} ${request.className}: `;
  const text = start.repeat(Math.ceil(extra / start.length)).slice(0, extra);
  const { buildCall } = request;
  const buildLonger = (arrivedAt: number) => {
    const call = buildCall(arrivedAt);
    const body = JSON.parse(new TextDecoder().decode(call.body));
    const longer = { ...body, prompt: text + body.prompt };
    return { ...call, body: Buffer.from(JSON.stringify(longer)) };
  };
  request.buildCall = buildLonger;
  request.buildExpected = () => {
    const { body } = buildLonger(0);
    const { prompt, model, max_tokens: maxTokens } = JSON.parse(
      new TextDecoder().decode(body),
    );
    return EngineAnswer.create({ prompt, model, maxTokens }).getText();
  };
}
