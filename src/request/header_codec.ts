/**
 * The header formats of routed calls, for callers and for upstreams.
 *
 * @module
 */
import type { VmId, WorkspaceName } from "../ids.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";

/** A part of a prompt that may be shared with other prompts. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** A caller's description of a prompt and of the output it expects. */
export interface PromptMetadata {
  /** In prompt order; a part can be cached only if all parts before it are. */
  parts: PromptPart[];
  promptTokens: number;
  maxTokens: number;
  /** The caller's estimate of the output tokens; often off by half. */
  expectedTokens?: number | undefined;
}

/** The contents of a caller's headers. */
export interface RoutedCall {
  requestId: string | undefined;
  /** The caller's timeout, in milliseconds from when it sent the call. */
  timeoutMs: number | undefined;
  prompt: PromptMetadata | undefined;
  /** The id of the last event that the caller has received of a stream. */
  lastEventId: string | undefined;
  /** The request that brought the stream's first event, if it is taken up. */
  resumes: string | undefined;
}

/** The contents of the headers that the router adds for an upstream. */
export interface UpstreamMetadata {
  /** The intended replica; any other replica at its address must refuse. */
  upstream: VmId;
  /** Undefined on routes that need no API key. */
  workspace: WorkspaceName | undefined;
  /** Time until the caller's deadline, in milliseconds. */
  leftMs: number;
  /** 0 is the most urgent. */
  priority: number;
  lastEventId: string | undefined;
  /** Another upstream to fetch cached prompt parts from, as IP:PORT. */
  fetchFrom?: string | undefined;
}

/** What changes in the headers of a request that is passed on to another VM. */
export type ForwardedMetadata = Pick<
  UpstreamMetadata,
  "leftMs" | "lastEventId"
>;

/** The contents of an answer's head. */
export interface AnswerMetadata {
  /** The id of the answered request; undefined if the answer has none. */
  requestId: string | undefined;
  /**
   * Whether the upstream states that it did not and will not run the request.
   */
  isNotExecuted: boolean;
  /** Whether the answer carries the upstream's signature. */
  isSigned: boolean;
  /** Undefined if a replica other than the intended one answered. */
  signals: UpstreamSignals | undefined;
}

/** Reads and writes the headers of routed calls, by lower-case name. */
export abstract class HeaderCodec {
  /** Callers' headers that go to the upstream whatever `connection` says. */
  abstract readonly endToEndHeaders: ReadonlySet<string>;
  abstract readCall(headers: Record<string, string>): RoutedCall;
  /** The caller's headers without its credentials, plus the router's own. */
  abstract buildHeaders(
    callerHeaders: Record<string, string>,
    metadata: UpstreamMetadata,
  ): Record<string, string>;
  /** The caller's headers, credentials included, for another VM. */
  abstract buildForwardedHeaders(
    callerHeaders: Record<string, string>,
    metadata: ForwardedMetadata,
  ): Record<string, string>;
  abstract readAnswer(
    status: number,
    headers: Record<string, string>,
  ): AnswerMetadata;
}
