/**
 * Fake upstream transports for the slopes.
 *
 * @module
 */
import type {
  LoadReport,
  UpstreamTransport,
} from "../../src/connection/upstream_transport.ts";

/**
 * Creates upstreams that report `load`, have no cache events and accept
 * commands.
 */
export function createReportingTransport(load: LoadReport): UpstreamTransport {
  return {
    send: refuseCall,
    fetchLoad: () => Promise.resolve(load),
    fetchCacheEvents: () => Promise.resolve([]),
    sendCommand: () => Promise.resolve(true),
    copyCache: () => Promise.resolve(0),
  } as unknown as UpstreamTransport;
}

/** Creates upstreams that fail every call. */
export function createRefusingTransport(): UpstreamTransport {
  return {
    send: refuseCall,
    fetchLoad: refuseCall,
    fetchCacheEvents: refuseCall,
    sendCommand: refuseCall,
    copyCache: refuseCall,
  } as unknown as UpstreamTransport;
}

function refuseCall(): Promise<never> {
  return Promise.reject(new Error("The fake upstream refuses all calls"));
}
