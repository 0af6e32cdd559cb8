/**
 * The request layer: types and handlers of callers' requests.
 *
 * @module
 */
export { CallerHandler } from "./caller_request.ts";
export type { CallerRequest } from "./caller_request.ts";
export { CallerSink } from "./caller_sink.ts";
export type {
  RequestStatus,
  RequestStep,
  RequestStepName,
} from "./request_status.ts";
export type { RequestServices } from "./request_services.ts";
export { RequestRouter } from "./router.ts";
export type {
  AnswerMetadata,
  PromptMetadata,
  PromptPart,
  RoutedCall,
  UpstreamMetadata,
} from "./header_codec.ts";
