/**
 * HTTP stand-ins for model engines, plain services and the platform.
 *
 * @module
 */
export { EngineAnswer } from "./engine_answer.ts";
export type { EngineOptions } from "./engine_options.ts";
export { EngineServer } from "./engine_server.ts";
export { PlatformServer } from "./platform_server.ts";
export { ServiceServer } from "./service_server.ts";
