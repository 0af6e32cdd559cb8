export { CallerHandler } from "../request/caller_request.ts";
export type { CallerRequest } from "../request/caller_request.ts";
export { CallerListener, DEFAULT_CALLER_LIMITS } from "./caller_listener.ts";
export type { CallerLimits } from "./caller_listener.ts";
export { HttpSink } from "./http_sink.ts";
export { HttpUpstreamTransport } from "./http_transport.ts";
export { parseJsonBody } from "./json_body.ts";
export { OperatorApi, OperatorListener } from "./operator_listener.ts";
export type { HealthAnswer } from "./operator_listener.ts";
export { TrpcPeerDirectory } from "./peer_client.ts";
export { PeerListener } from "./peer_listener.ts";
export { buildRefusal, getRefusalKind } from "./refusal_body.ts";
export { parseEvents, SseFramer } from "./sse_frames.ts";
export type { ClientTls, ServerTls } from "./tls_material.ts";

export { UpstreamError, UpstreamTransport } from "./upstream_transport.ts";
export type {
  EngineCommand,
  LoadReport,
  UpstreamAnswer,
  UpstreamCall,
} from "./upstream_transport.ts";
