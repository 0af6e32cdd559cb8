/**
 * Stand-ins for engines, plain services and the platform.
 *
 * @module
 */
export {
  type AnswerInput,
  computeAnswerLength,
  countTextTokens,
  EngineAnswer,
} from "./engine_answer.ts";
export {
  type CompletionCall,
  type EngineCall,
  formatChatPrompt,
  parseCompletionCall,
} from "./engine_body.ts";
export { type CancelCall, handleEngineCall } from "./engine_calls.ts";
export { EngineCore, type StartAnswer } from "./engine_core.ts";
export { type EngineCounts } from "./engine_counts.ts";
export {
  DEFAULT_ENGINE_OPTIONS,
  type EngineOptions,
  type HeldModel,
} from "./engine_options.ts";
export {
  type EngineRequest,
  EngineRun,
  type RunEnd,
  type RunListener,
  type RunRecord,
} from "./engine_run.ts";
export { EngineServer } from "./engine_server.ts";
export { type AnswerWriter } from "./engine_writer.ts";
export { PlatformCore } from "./platform_core.ts";
export { PlatformServer } from "./platform_server.ts";
export {
  type ServiceAnswer,
  type ServiceCall,
  ServiceCore,
  type ServiceFault,
} from "./service_core.ts";
export { ServiceServer } from "./service_server.ts";
export { VirtualClock } from "./virtual_clock.ts";
export { VirtualNetwork } from "./virtual_network.ts";
