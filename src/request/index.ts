/**
 * What lives for one request.
 *
 * @module
 */
export { CallerHandler } from "./caller_request.ts";
export type { CallerRequest } from "./caller_request.ts";
export { CallerSink } from "./caller_sink.ts";
export type { FateRecord, FateStep, FateStepName } from "./fate.ts";
export type { RequestServices } from "./request_services.ts";
export { RequestRouter } from "./router.ts";
export type {
  AnswerFacts,
  PromptPart,
  PromptShape,
  RoutedCall,
  UpstreamFacts,
} from "./routed_dialect.ts";
