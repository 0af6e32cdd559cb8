import { describe, expect, it } from "vitest";
import { ForwardedHandler } from "../../../src/process/forwarding/index.ts";
import {
  CallerHandler,
  type CallerRequest,
} from "../../../src/request/caller_request.ts";
import type { CallerSink } from "../../../src/request/caller_sink.ts";
import {
  buildForwardedHeader,
  checkPeerRefusal,
  PeerRefusalError,
} from "../../../src/request/forwarded_request.ts";
import {
  buildRequest,
  FakeLog,
  FakeSink,
} from "../../support/request_fakes.ts";

const PEER = "10.0.0.2";

class RecordingHandler extends CallerHandler {
  readonly handled: CallerRequest[] = [];

  override handle(request: CallerRequest, sink: CallerSink): Promise<void> {
    this.handled.push(request);
    return sink.end();
  }
}

async function handle(remoteAddress: string, headers: Record<string, string>) {
  const handler = new RecordingHandler();
  const sink = new FakeSink();
  const forwarded = ForwardedHandler.create({
    log: new FakeLog(),
    handler,
    isPeer: (address) => address === PEER,
  });
  const request = buildRequest("POST", "/x", { headers });
  await forwarded.handle({ ...request, remoteAddress }, sink);
  return { handled: handler.handled, sink };
}

describe("ForwardedHandler", () => {
  it("handles a request of another VM without the headers between VMs", async () => {
    const { handled } = await handle(PEER, buildForwardedHeader(2));
    expect(handled).toHaveLength(1);
    expect(handled[0]!.forwarded).toEqual({ sendsLeft: 2 });
    expect(Object.keys(handled[0]!.headers)).toEqual(["authorization"]);
  });

  it("rejects what says that nothing may be sent any more", async () => {
    const { handled } = await handle(PEER, buildForwardedHeader(0));
    expect(handled).toEqual([]);
  });

  // Guards against callers that get 403 because the VM to which their request was
  // passed on has just started and does not know the sender yet.
  it("rejects an unknown sender so that it tries another VM", async () => {
    const { handled, sink } = await handle("10.0.0.3", buildForwardedHeader(2));
    expect(handled).toEqual([]);
    expect(sink.status).toBe(403);
    let refusal: unknown;
    try {
      checkPeerRefusal({ status: 403, headers: sink.headers });
    } catch (thrown) {
      refusal = thrown;
    }
    expect(refusal).toBeInstanceOf(PeerRefusalError);
    expect((refusal as PeerRefusalError).canTryElsewhere).toBe(true);
  });
});
