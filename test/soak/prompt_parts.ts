/**
 * Prompts of a soak's requests: parts that they share, and one that crashes
 * replicas.
 *
 * @module
 */
import type { Random } from "../../src/process/random.ts";
import type { TestAnswer } from "../platform/test_call.ts";

/** The part that crashes every replica that starts a request with it. */
export const POISON_PART = "poison-part";
/** Shared parts of sound requests: first parts, and sessions beside them. */
const FIRST_PARTS = 3;
const SESSIONS = 30;
const TOKENS_PER_PART = 10;
const HEADER = "x-prompt-prefix";

/** Builds the headers of a prompt; its second part is a session by default. */
export function buildPromptHeaders(
  random: Random,
  { own, second }: { own: string; second?: string | undefined },
): Record<string, string> {
  const first = `first-${random.nextInt(FIRST_PARTS)}`;
  const session = `session-${random.nextInt(SESSIONS)}`;
  const parts = [first, second ?? session, own]
    .map((part) => `${part}:${TOKENS_PER_PART}`);
  return {
    "x-token-count": `${parts.length * TOKENS_PER_PART},${TOKENS_PER_PART}`,
    [HEADER]: parts.join(),
  };
}

/** Whether a request has the part that crashes replicas. */
export function hasPoisonPart(headers: Record<string, string>): boolean {
  return (headers[HEADER] ?? "").includes(`,${POISON_PART}:`);
}

/** Whether a request was refused since a part of its prompt is held. */
export function isHeldByPart({ body }: Pick<TestAnswer, "body">): boolean {
  return body.includes('"code":"quarantined"') &&
    body.includes(" of its prompt crashes replicas");
}
