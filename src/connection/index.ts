export { CallerHandler } from "./caller_handler.ts";
export type { CallerRequest } from "./caller_handler.ts";
export { CallerListener, DEFAULT_CALLER_LIMITS } from "./caller_listener.ts";
export type { CallerLimits, CallerListenerOptions } from "./caller_listener.ts";
export { HttpSink } from "./http_sink.ts";
export type { HttpSinkOptions } from "./http_sink.ts";
export type { ServerLimits } from "./http_server.ts";
export { HttpUpstreamTransport } from "./http_transport.ts";
export type { Endpoint, HttpTransportOptions } from "./http_transport.ts";
export { DEFAULT_JSON_LIMITS, parseJsonBody } from "./json_body.ts";
export type { JsonLimits } from "./json_body.ts";
export { buildRefusal, getRefusalKind, writeRefusal } from "./refusal_body.ts";
export type {
  RefusalAnswer,
  RefusalKind,
  RefusalOptions,
  RefusalType,
} from "./refusal_body.ts";
export type { ClientTls, ServerTls } from "./tls_material.ts";
export { UpstreamError, UpstreamTransport } from "./upstream_transport.ts";
export type {
  CacheEvent,
  CallLimits,
  EngineOrder,
  LoadReport,
  UpstreamAnswer,
  UpstreamCall,
  UpstreamErrorKind,
} from "./upstream_transport.ts";
