/**
 * A routed call whose route and caller are known.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { Workspace } from "../version/records.ts";
import type { Route, RoutedSnapshot } from "../version/routes.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { RoutedCall } from "./header_codec.ts";

/** A call with its route and its authenticated caller. */
export interface CheckedCall {
  request: CallerRequest;
  sink: CallerSink;
  snapshot: RoutedSnapshot;
  route: Route;
  workspace: Workspace;
  call: RoutedCall;
  requestId: RequestId;
}
