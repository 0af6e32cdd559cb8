/**
 * Upstreams of the slopes: they report what they are told to.
 *
 * @module
 */
import type {
  LoadReport,
  UpstreamTransport,
} from "../../src/connection/upstream_transport.ts";

/** Upstreams that report `load`, have no cache events and take orders. */
export function createReportingTransport(load: LoadReport): UpstreamTransport {
  return {
    send: refuseCall,
    fetchLoad: () => Promise.resolve(load),
    fetchCacheEvents: () => Promise.resolve([]),
    sendOrder: () => Promise.resolve(true),
    copyCache: () => Promise.resolve(0),
  } as unknown as UpstreamTransport;
}

/** Upstreams that answer nothing. */
export function createRefusingTransport(): UpstreamTransport {
  return {
    send: refuseCall,
    fetchLoad: refuseCall,
    fetchCacheEvents: refuseCall,
    sendOrder: refuseCall,
    copyCache: refuseCall,
  } as unknown as UpstreamTransport;
}

function refuseCall(): Promise<never> {
  return Promise.reject(new Error("The upstream does not answer"));
}
