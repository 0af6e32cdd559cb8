/**
 * How callers and upstreams of routed calls put things into headers.
 *
 * @module
 */
import type { VmId, WorkspaceName } from "../ids.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";

/** A part of a prompt that other prompts may begin with as well. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What a caller says of a generation before it begins. */
export interface PromptMetadata {
  /** In order; a part can be cached only where all before it are. */
  parts: PromptPart[];
  promptTokens: number;
  maxTokens: number;
}

/** What a caller's headers say of its call. */
export interface RoutedCall {
  requestId: string | undefined;
  /** How long the caller waits, in milliseconds from its sending. */
  timeoutMs: number | undefined;
  prompt: PromptMetadata | undefined;
  /** The last event of a stream that the caller has already. */
  lastEventId: string | undefined;
}

/** What the router tells an upstream beside the caller's own headers. */
export interface UpstreamMetadata {
  /** The replica that is meant, and no other at its address. */
  upstream: VmId;
  /** Undefined on routes that need no key. */
  workspace: WorkspaceName | undefined;
  /** Time until the caller's deadline, in milliseconds. */
  leftMs: number;
  /** 0 is the most urgent. */
  priority: number;
  lastEventId: string | undefined;
  /** Another upstream that hands over parts of the prompt, as IP:PORT. */
  fetchFrom?: string | undefined;
}

/** What an answer's head says of the work. */
export interface AnswerMetadata {
  /** The request that is answered; undefined where it is not named. */
  requestId: string | undefined;
  /** The upstream's word that it did not run the request and never will. */
  isNotExecuted: boolean;
  /** Whether the answer carries the upstream's signature. */
  isSigned: boolean;
  /** Undefined where another replica answered than the one that was meant. */
  signals: UpstreamSignals | undefined;
}

/** Reads and writes the headers of routed calls. Names in lower case. */
export abstract class HeaderCodec {
  abstract readCall(headers: Record<string, string>): RoutedCall;
  /** The caller's headers, less its own secrets, with the router's words. */
  abstract buildHeaders(
    callerHeaders: Record<string, string>,
    facts: UpstreamMetadata,
  ): Record<string, string>;
  abstract readAnswer(
    status: number,
    headers: Record<string, string>,
  ): AnswerMetadata;
}
