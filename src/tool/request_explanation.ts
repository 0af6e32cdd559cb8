/**
 * Explains the status of a request in plain sentences for support engineers.
 *
 * @module
 */
import { match, P } from "ts-pattern";
import type { RequestStatusPage } from "./operator_answers.ts";
import { formatDuration } from "./table.ts";

type Step = RequestStatusPage["steps"][number];

/** Explanation of one request. */
export interface RequestExplanation {
  /** One sentence on how the request ended. */
  outcome: string;
  /** One sentence for each step, in order, with the time spent. */
  events: string[];
  /** What is unknown, and why. */
  unknowns: string[];
}

/** Builds the explanation of a request's status. */
export function buildExplanation(page: RequestStatusPage): RequestExplanation {
  return {
    outcome: formatOutcome(page),
    events: page.steps.map((step, index) =>
      formatStep(step, page.steps[index + 1])
    ),
    unknowns: listUnknowns(page),
  };
}

/** Renders an explanation as text. */
export function renderExplanation(
  page: RequestStatusPage,
  explanation: RequestExplanation,
): string {
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
    `Outcome   ${explanation.outcome}`,
  ];
  if (explanation.events.length > 0) {
    lines.push("", "What happened, by time since arrival:");
    page.steps.forEach((step, index) => {
      const age = `+${formatDuration(step.age_ms)}`.padStart(9);
      lines.push(`${age}  ${explanation.events[index]}`);
    });
  }
  if (explanation.unknowns.length > 0) {
    lines.push("", "What is not known:");
    for (const unknown of explanation.unknowns) lines.push(`  - ${unknown}`);
  }
  return lines.map((line) => `${line}\n`).join("");
}

function formatOutcome(page: RequestStatusPage): string {
  const refusal = page.steps.findLast((step) => step.step === "refused");
  const why = refusal?.detail ?? page.why;
  const because = why ? `: ${why}` : "";
  const code = page.code ? ` (${page.code})` : "";
  return match(page.outcome)
    .with("answered", () => {
      return `Answered in full${formatTokens(page)}.`;
    })
    .with("running", () => {
      return `Still running${formatTokens(page)}.`;
    })
    .with("not_run", () => {
      return `Not run${code}${because}. No upstream did any work for it, so ` +
        "it may be sent again safely.";
    })
    .with("ran", () => {
      return `Ran, but the caller did not get the complete answer${code}${because}. Sending it again does the work twice.`;
    })
    .otherwise(() => {
      return `Not known${code}${because}. It may have run: send it again only ` +
        "where running it twice does no harm.";
    });
}

function formatTokens(page: RequestStatusPage): string {
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
    .with("claimed", () => "Claimed the execution of its request id")
    .with("admitted", () => `Within the workspace's limits${detail}`)
    .with("queued", () => {
      const owner = step.peer ? ` at ${step.peer}` : "";
      return `Waited in the queue${owner}${detail}${spent}`;
    })
    .with("passed_on", () => {
      return `Forwarded to a shard that had work of a lower tier${detail}`;
    })
    .with("granted", () => `Got a slot on replica ${peer}${detail}`)
    .with("sent", () => `Sent to replica ${peer}${detail}${spent}`)
    .with("first_token", () => `First token received from ${peer}${spent}`)
    .with("stream_broken", () => `The stream from ${peer} broke${detail}`)
    .with("preempted", () => {
      return `Preempted on ${peer} by a higher tier${detail}`;
    })
    .with("resumed", () => `Resumed on ${peer} where it had stopped${detail}`)
    .with("retried", () => `Retried${detail}`)
    .with("answered", () => "The complete answer was sent to the caller")
    .with("refused", () => `Refused${detail}`)
    .with("cancelled", () => `The caller disconnected${detail}`)
    .with("unknown", () => `Its status is not known from here on${detail}`)
    .otherwise((name) => `${name}${detail}`);
}

function listUnknowns(page: RequestStatusPage): string[] {
  const unknowns: string[] = [];
  const last = page.steps.at(-1);
  if (page.why) unknowns.push(page.why);
  if (page.dropped_steps) {
    unknowns.push(
      `${page.dropped_steps} steps left out: the status record had reached ` +
        "its maximum size",
    );
  }
  match({ outcome: page.outcome, step: last?.step })
    .with({ outcome: "unknown", step: P.string }, () => {
      unknowns.push(
        "Whether the upstream did the work: the request may have reached " +
          `it${formatLastPeer(page)}, and no answer arrived`,
      );
    })
    .with({ outcome: "running", step: "sent" }, () => {
      unknowns.push("The progress of the upstream: no token has arrived yet");
    })
    .with({ outcome: "running", step: "queued" }, () => {
      unknowns.push("When it will be granted a slot");
    })
    .otherwise(() => {});
  return unknowns;
}

function formatLastPeer(page: RequestStatusPage): string {
  const sent = page.steps.findLast((step) => step.step === "sent");
  return sent?.peer ? ` (${sent.peer})` : "";
}
