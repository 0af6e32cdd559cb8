export { CallerHandler } from "../request/caller_request.ts";
export type { CallerRequest } from "../request/caller_request.ts";
export { CallerListener, DEFAULT_CALLER_LIMITS } from "./caller_listener.ts";
export type { CallerLimits, CallerListenerOptions } from "./caller_listener.ts";
export { HttpSink } from "./http_sink.ts";
export type { HttpSinkOptions } from "./http_sink.ts";
export type { ServerLimits } from "./http_server.ts";
export { HttpUpstreamTransport } from "./http_transport.ts";
export type { Endpoint, HttpTransportOptions } from "./http_transport.ts";
export { DEFAULT_JSON_LIMITS, parseJsonBody } from "./json_body.ts";
export type { JsonLimits } from "./json_body.ts";
export { OperatorApi, OperatorListener } from "./operator_listener.ts";
export type {
  HealthAnswer,
  OperatorListenerOptions,
} from "./operator_listener.ts";
export { DEFAULT_PEER_DEADLINES, TrpcPeerDirectory } from "./peer_client.ts";
export type { PeerDeadlines, TrpcPeerDirectoryOptions } from "./peer_client.ts";
export { PeerListener } from "./peer_server.ts";
export type { PeerListenerOptions } from "./peer_server.ts";
export { buildRefusal, getRefusalKind, writeRefusal } from "./refusal_body.ts";
export type {
  RefusalAnswer,
  RefusalKind,
  RefusalOptions,
  RefusalType,
} from "./refusal_body.ts";
export { readBearerToken, SharedSecret } from "./secret.ts";
export { parseEvent, parseEvents, SseFramer } from "./sse_frames.ts";
export type { SseFrame } from "./sse_frames.ts";
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
