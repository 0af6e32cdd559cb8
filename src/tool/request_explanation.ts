/**
 * Tells a request's fate in words that a support engineer can pass on.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import type { FatePage } from "./operator_answers.ts";
import { formatDuration } from "./table.ts";

type Step = FatePage["steps"][number];

/** What is told of one request. */
export interface FateStory {
  /** One sentence: what became of it. */
  outcome: string;
  /** Where the time went and what happened there, in order. */
  events: string[];
  /** What cannot be told, and why. */
  unknowns: string[];
}

/** Puts a fate into words. */
export function buildStory(page: FatePage): FateStory {
  return {
    outcome: formatOutcome(page),
    events: page.steps.map((step, index) =>
      formatStep(step, page.steps[index + 1])
    ),
    unknowns: listUnknowns(page),
  };
}

/** Lays a story out as text. */
export function renderStory(page: FatePage, story: FateStory): string {
  const lines = [
    `Request   ${page.request_id}`,
    `Caller    workspace ${page.workspace ?? "not known"}, class ${
      page.class ?? "not known"
    }`,
    `Arrived   ${page.arrived_at ?? "not known"} at VM ${
      page.vm ?? "not known"
    }${
      page.config_version
        ? `, configuration version ${page.config_version}`
        : ""
    }`,
    `Outcome   ${story.outcome}`,
  ];
  if (story.events.length > 0) {
    lines.push("", "What happened, by time since arrival:");
    page.steps.forEach((step, index) => {
      const age = `+${formatDuration(step.age_ms)}`.padStart(9);
      lines.push(`${age}  ${story.events[index]}`);
    });
  }
  if (story.unknowns.length > 0) {
    lines.push("", "What is not known:");
    for (const unknown of story.unknowns) lines.push(`  - ${unknown}`);
  }
  return lines.map((line) => `${line}\n`).join("");
}

function formatOutcome(page: FatePage): string {
  const refusal = page.steps.findLast((step) => step.step === "refused");
  const why = refusal?.detail ?? page.why;
  const because = why ? `: ${why}` : "";
  const code = page.code ? ` (${page.code})` : "";
  return match(page.outcome)
    .with("answered", () => {
      return `Answered in full${formatTokens(page)}.`;
    })
    .with("running", () => {
      return `Still being worked on${formatTokens(page)}.`;
    })
    .with("not_run", () => {
      return `Not run${code}${because}. No upstream did any work for it, so ` +
        "it may be sent again safely.";
    })
    .with("ran", () => {
      return `Ran, but the caller did not get the whole answer${code}${because}. Sending it again does the work twice.`;
    })
    .otherwise(() => {
      return `Not known${code}${because}. It may have run: send it again only ` +
        "where running it twice does no harm.";
    });
}

function formatTokens(page: FatePage): string {
  return page.tokens ? `, ${page.tokens} tokens` : "";
}

function formatStep(step: Step, next: Step | undefined): string {
  const peer = step.peer ?? "an upstream that is not named";
  const detail = step.detail ? `: ${step.detail}` : "";
  const spent = next
    ? ` (took ${formatDuration(Math.max(0, next.age_ms - step.age_ms))})`
    : "";
  return match(step.step)
    .with("arrived", () => "Reached the VM")
    .with("claimed", () => "Got the one run of its request id")
    .with("admitted", () => `Within the workspace's limits${detail}`)
    .with("queued", () => {
      const owner = step.peer ? ` at ${step.peer}` : "";
      return `Waited in the queue${owner}${detail}${spent}`;
    })
    .with("passed_on", () => {
      return `Passed on to a shard that had work of a lower tier${detail}`;
    })
    .with("granted", () => `Got a slot on replica ${peer}${detail}`)
    .with("sent", () => `Sent to replica ${peer}${detail}${spent}`)
    .with("first_token", () => `First token came from ${peer}${spent}`)
    .with("stream_broken", () => `The stream from ${peer} broke${detail}`)
    .with("preempted", () => {
      return `Stopped on ${peer} to make room for a higher tier${detail}`;
    })
    .with("resumed", () => `Went on at ${peer} where it had stopped${detail}`)
    .with("retried", () => `Tried again${detail}`)
    .with("answered", () => "The whole answer went to the caller")
    .with("refused", () => `Refused${detail}`)
    .with("cancelled", () => `The caller went away${detail}`)
    .with("unknown", () => `From here on its fate is not known${detail}`)
    .otherwise((name) => `${name}${detail}`);
}

function listUnknowns(page: FatePage): string[] {
  const unknowns: string[] = [];
  const last = page.steps.at(-1);
  if (page.why) unknowns.push(page.why);
  if (page.dropped_steps) {
    unknowns.push(
      `${page.dropped_steps} steps left out: the record had reached its ` +
        "bound",
    );
  }
  match({ outcome: page.outcome, step: last?.step })
    .with({ outcome: "unknown", step: P.string }, () => {
      unknowns.push(
        "Whether the upstream did the work: the request may have reached " +
          `it${formatLastPeer(page)}, and no answer told what it did`,
      );
    })
    .with({ outcome: "running", step: "sent" }, () => {
      unknowns.push("How far the upstream is: no token has come yet");
    })
    .with({ outcome: "running", step: "queued" }, () => {
      unknowns.push("When its turn comes");
    })
    .otherwise(() => {});
  return unknowns;
}

function formatLastPeer(page: FatePage): string {
  const sent = page.steps.findLast((step) => step.step === "sent");
  return sent?.peer ? ` (${sent.peer})` : "";
}
