/**
 * Datagrams with evidence against requests and parts of prompts.
 *
 * @module
 */
import type { CrashNews } from "../quarantine/suspect_entry.ts";
import type { SuspectsMessage } from "./suspect_schema.ts";

/** Characters of a message that fits into one frame, nearly. */
const MAX_CHARACTERS = 1_100;

/**
 * Splits the evidence into messages that fit into one frame each. A report with
 * very many parts takes several frames.
 */
export function buildSuspectMessages(news: CrashNews): SuspectsMessage[] {
  const items = [
    ...news.entries.map((entry) => ({ entries: [entry] })),
    ...news.reports.map((report) => ({ reports: [report] })),
    ...news.answers.map((answer) => ({ answers: [answer] })),
  ];
  const messages: CrashNews[] = [];
  let characters = Infinity;
  for (const item of items) {
    const { length } = JSON.stringify(Object.values(item));
    if (characters + length > MAX_CHARACTERS) {
      messages.push({ entries: [], reports: [], answers: [] });
      characters = 0;
    }
    characters += length;
    addItem(messages.at(-1)!, item);
  }
  return messages.map((message) => ({ kind: "suspects", ...message }));
}

function addItem(
  message: CrashNews,
  { entries = [], reports = [], answers = [] }: Partial<CrashNews>,
): void {
  message.entries.push(...entries);
  message.reports.push(...reports);
  message.answers.push(...answers);
}
