import { listBadCuts } from "./link_control.ts";
import { describe, expect, it } from "vitest";
import { SOAK_ROUTES, type SoakRequest } from "./soak_callers.ts";
import { listViolations, type SoakRecord } from "./soak_oracle.ts";

const [SAFE, UNSAFE, STREAM, RESTREAM] = SOAK_ROUTES;
const WHOLE_STREAM = [1, 2, 3, 4, 5, 6]
  .map((id) => `id: ${id}\ndata: i-1\n\n`).join("");

function buildRequest(changes: Partial<SoakRequest> = {}): SoakRequest {
  return {
    id: "request-1",
    poison: undefined,
    route: UNSAFE,
    key: "key-standing",
    vm: "vm-1",
    isDisturbed: false,
    sentAt: 1_000,
    endedAt: 1_100,
    status: 200,
    headers: { "x-request-id": "request-1", "x-response-seal": "seal" },
    body: '{"replica":"i-1"}',
    isWhole: true,
    ...changes,
  };
}

function check(request: SoakRequest, changes: Partial<SoakRecord> = {}) {
  const broken = listViolations({
    requests: [request],
    runs: new Map([["request-1", 1]]),
    versions: new Map([["i-1", "v1"], ["i-2", "v1"], ["i-3", "v2"]]),
    revoked: [],
    published: new Map([["key-2", 500]]),
    limits: [],
    senders: new Map(),
    receivedRefusals: new Set(["request-1 i-1"]),
    cuts: [],
    falls: [],
    leaving: [],
    listedLeaving: [],
    backOffs: [],
    isStoreDisturbed: () => false,
    isStoreDisturbedFor: () => false,
    isMachineBusy: () => false,
    getLateMs: () => 0,
    ...changes,
  });
  return broken.map(({ promise }) => promise);
}

describe("violations that a soak reports", () => {
  it("are none where all guarantees hold", () => {
    expect(check(buildRequest())).toEqual([]);
    const stream = { route: STREAM, body: WHOLE_STREAM };
    expect(check(buildRequest(stream))).toEqual([]);
  });

  it("include a second run of a request that may run once", () => {
    const runs = new Map([["request-1", 2]]);
    expect(check(buildRequest(), { runs })).toEqual(["runs at most once"]);
    expect(check(buildRequest({ route: SAFE }), { runs })).toEqual([]);
  });

  it("include a stream with events of two versions", () => {
    const buildStream = (replicas: string[], from = 1) =>
      replicas.map((id, index) => `id: ${from + index}\ndata: ${id}\n\n`)
        .join("");
    const promise = ["a stream goes on only at the version that began it"];
    const checkReplicas = (replicas: string[]) =>
      check(buildRequest({ route: RESTREAM, body: buildStream(replicas) }));
    expect(checkReplicas(["i-1", "i-1", "i-2", "i-2", "i-2", "i-2"]))
      .toEqual([]);
    expect(checkReplicas(["i-1", "i-1", "i-3", "i-3", "i-3", "i-3"]))
      .toEqual(promise);
    const takesUp = { first: "request-0", replicas: ["i-1", "i-1"] };
    const checkRest = (replica: string) => {
      const body = buildStream(new Array(4).fill(replica), 3);
      return check(buildRequest({ route: RESTREAM, body, takesUp }));
    };
    expect(checkRest("i-2")).toEqual([]);
    expect(checkRest("i-3")).toEqual(promise);
  });

  it("include the refusal of a request that ran", () => {
    const refused = buildRequest({ status: 503, body: "" });
    expect(check(refused)).toEqual(["a refused request has not run"]);
    expect(check(refused, { runs: new Map() })).toEqual([]);
  });

  it("include another request's answer, or one without a signature", () => {
    const promise = ["an answer belongs to its request"];
    const other = { "x-request-id": "request-2", "x-response-seal": "seal" };
    expect(check(buildRequest({ headers: other }))).toEqual(promise);
    const unsigned = { "x-request-id": "request-1" };
    expect(check(buildRequest({ headers: unsigned }))).toEqual(promise);
  });

  it("include an incomplete answer that ends like a complete one", () => {
    const part = WHOLE_STREAM.slice(0, -30);
    const cut = buildRequest({ route: STREAM, body: part });
    const promise = ["an answer is complete or visibly broken"];
    expect(check(cut)).toEqual(promise);
    expect(check({ ...cut, isWhole: false })).toEqual([]);
    const twice = WHOLE_STREAM + WHOLE_STREAM;
    expect(check({ ...cut, body: twice })).toEqual(promise);
  });

  it("include a caller that is rejected with a valid key", () => {
    const denied = buildRequest({ status: 401, body: "" });
    expect(check(denied)).toEqual(["a valid key is accepted"]);
    expect(check({ ...denied, key: "key-2" })).toEqual([]);
    const later = { ...denied, key: "key-2", sentAt: 5_000, endedAt: 5_100 };
    expect(check(later)).toEqual(["a valid key is accepted"]);
    expect(check({ ...later, isDisturbed: true })).toEqual([]);
  });

  it("include a key that is accepted long after it was revoked", () => {
    const late = buildRequest({ key: "key-1", sentAt: 9_000, endedAt: 9_100 });
    const revoked = [{ key: "key-1", at: 2_000 }];
    const promise = ["a revoked key is refused"];
    expect(check(late, { revoked })).toEqual(promise);
    expect(check({ ...late, sentAt: 4_000, endedAt: 4_100 }, { revoked }))
      .toEqual([]);
    expect(check(late, { revoked, isStoreDisturbed: () => true })).toEqual([]);
    expect(check({ ...late, isDisturbed: true }, { revoked })).toEqual([]);
  });

  it("include a caller whose request does not end in time", () => {
    const late = buildRequest({ endedAt: 7_000, status: 0, isWhole: false });
    expect(check(late)).toEqual(["a request ends in time"]);
    expect(check({ ...late, isDisturbed: true })).toEqual([]);
    expect(check(late, { isMachineBusy: () => true })).toEqual([]);
  });
});

it("a sound request that is held by its part is a violation", () => {
  const message = "Quarantined: part pool/x of its prompt crashes replicas";
  const body = JSON.stringify({ error: { code: "quarantined", message } });
  const held = buildRequest({ status: 503, body });
  const changes = { runs: new Map<string, number>() };
  expect(check(held, changes))
    .toContain("sound requests are not held by their parts");
  expect(check({ ...held, poison: "part" }, changes)).toEqual([]);
});

describe("runs of a poison request", () => {
  /** One request a second, each at an undisturbed VM. */
  function checkRuns(count: number, changes: Partial<SoakRequest> = {}) {
    const requests = Array.from({ length: count }, (_, index) =>
      buildRequest({
        id: `poison-${index}`,
        poison: "request",
        sentAt: index * 1_000,
        endedAt: index * 1_000 + 100,
        status: 502,
        ...changes,
      }));
    const runs = new Map(requests.map(({ id }) => [id, 1]));
    return check(requests[0]!, { requests, runs });
  }

  it("are violations beyond three that start over 3 s after the third", () => {
    expect(checkRuns(9)).toEqual([]);
    expect(checkRuns(10)).toEqual(["a poison request is kept from replicas"]);
  });

  it("are violations after the fifth where a part crashes replicas", () => {
    const expected = ["a part that crashes replicas is kept from them"];
    expect(checkRuns(11, { poison: "part" })).toEqual([]);
    expect(checkRuns(12, { poison: "part" })).toEqual(expected);
  });

  it("are ignored at VMs that have just started", () => {
    expect(checkRuns(20, { isDisturbed: true })).toEqual([]);
  });
});

describe("a replica's rate limit", () => {
  /** Ten requests a second while the limit is announced. */
  function checkArrivals(
    requestsPerS: number,
    changes: Partial<SoakRequest> = {},
  ) {
    const limit = { replica: "i-1", requestsPerS, from: 0, to: 12_000 };
    const arrivals = Array.from({ length: 120 }, (_, index) => ({
      requestId: `request-${index}`,
      at: index * 100,
    }));
    const requests = arrivals.map(({ requestId, at }) =>
      buildRequest({
        id: requestId,
        sentAt: at,
        endedAt: at + 10,
        headers: { "x-request-id": requestId, "x-response-seal": "seal" },
        ...changes,
      })
    );
    const limits = [{ ...limit, arrivals }];
    return check(requests[0]!, { requests, runs: new Map(), limits });
  }

  it("is violated by more than 1.5 times the limit plus five", () => {
    expect(checkArrivals(6)).toEqual([]);
    expect(checkArrivals(5)).toEqual([
      "a replica gets no more than its rate limit",
    ]);
  });

  it("does not count at VMs that have just started", () => {
    expect(checkArrivals(1, { isDisturbed: true })).toEqual([]);
  });
});

describe("a replica that announced that it leaves", () => {
  /** The first answer has the notice; another request follows after `ms`. */
  function checkLater(ms: number, changes: Partial<SoakRequest> = {}) {
    const announced = buildRequest({
      headers: {
        "x-request-id": "request-1",
        "x-response-seal": "seal",
        "server-leaving": "1",
      },
    });
    const sentAt = announced.endedAt + ms;
    const later = buildRequest({
      id: "request-2",
      sentAt,
      endedAt: sentAt + 10,
      headers: { "x-request-id": "request-2", "x-response-seal": "seal" },
      ...changes,
    });
    const arrivals = [announced, later]
      .map(({ id, sentAt: at }) => ({ requestId: id, at }));
    const leaving = [{ replica: "i-1", from: 0, to: 9_000, arrivals }];
    return check(announced, {
      requests: [announced, later],
      runs: new Map(),
      leaving,
    });
  }

  it("must not get requests sent over two seconds after the notice", () => {
    expect(checkLater(1_900)).toEqual([]);
    expect(checkLater(2_100))
      .toEqual(["a leaving replica gets no new requests"]);
  });

  it("may get requests of VMs that have just started, or once it is back", () => {
    expect(checkLater(2_100, { isDisturbed: true })).toEqual([]);
    expect(checkLater(9_000)).toEqual([]);
  });
});

describe("a replica that left the list", () => {
  /** One request arrives `ms` after the store accepted the leaving. */
  function checkArrival(ms: number, changes: Partial<SoakRecord> = {}) {
    const arrivals = [{ requestId: "request-1", at: ms }];
    const listedLeaving = [{ replica: "i-1", from: 0, to: 9_000, arrivals }];
    return check(buildRequest(), { listedLeaving, ...changes });
  }

  it("must not get requests over two seconds after that", () => {
    expect(checkArrival(1_900)).toEqual([]);
    expect(checkArrival(2_100))
      .toEqual(["a replica that left the list gets no requests"]);
  });

  it("may get them while the store is away, or noted late", () => {
    expect(checkArrival(2_100, { isStoreDisturbedFor: () => true }))
      .toEqual([]);
    expect(checkArrival(2_100, { getLateMs: () => 200 })).toEqual([]);
    expect(checkArrival(2_500, { getLateMs: () => 200 })).toHaveLength(1);
  });
});

describe("a replica that requested a back-off", () => {
  /** Requests `times` ms after the first, which got a back-off of 3 s. */
  function checkRepeats(
    times: number[],
    changes: Partial<SoakRequest> = {},
    senders: SoakRecord["senders"] = new Map(),
  ) {
    const requests = [0, ...times].map((ms, index) =>
      buildRequest({
        id: `request-${index + 1}`,
        sentAt: 1_000 + ms,
        endedAt: 1_010 + ms,
        status: 503,
        body: "",
        ...(index === 0 ? {} : changes),
      })
    );
    const arrivals = requests
      .map(({ id, sentAt }) => ({ requestId: id, at: sentAt }));
    const refusals = [{ requestId: "request-1", at: 1_000, forMs: 3_000 }];
    const backOffs = [{ replica: "i-1", refusals, arrivals }];
    const runs = new Map();
    return check(requests[0]!, { requests, runs, backOffs, senders });
  }

  it("must not get more than two requests of the VM in that time", () => {
    const promise = ["a VM respects a requested back-off"];
    expect(checkRepeats([600, 700])).toEqual([]);
    expect(checkRepeats([600, 700, 2_900])).toEqual(promise);
    expect(checkRepeats([100, 600, 700, 3_100])).toEqual([]);
  });

  // Guards against a refusal that binds a VM which never got it: a request was
  // passed on, came back and was refused where its caller had sent it.
  it("binds the VM that sent it the refused request", () => {
    const promise = ["a VM respects a requested back-off"];
    const times = [600, 700, 2_900];
    const sentBy = (vm: string) => new Map([["request-1 i-1", vm]]);
    expect(checkRepeats(times, {}, sentBy("vm-2"))).toEqual([]);
    expect(checkRepeats(times, { vm: "vm-2" }, sentBy("vm-2")))
      .toEqual(promise);
    const atOther = new Map([["request-1 i-2", "vm-2"]]);
    expect(checkRepeats(times, {}, atOther)).toEqual(promise);
  });

  // Guards against a refusal that counts although a cut swallowed it: its VM never
  // got it, and cannot know of the back-off.
  it("binds no VM that the refusal did not reach", () => {
    const requests = [0, 600, 700, 2_900].map((ms, index) =>
      buildRequest({ id: `request-${index + 1}`, sentAt: 1_000 + ms })
    );
    const arrivals = requests
      .map(({ id, sentAt }) => ({ requestId: id, at: sentAt }));
    const refusals = [{ requestId: "request-1", at: 1_000, forMs: 3_000 }];
    const record = {
      requests,
      runs: new Map(),
      backOffs: [{ replica: "i-1", refusals, arrivals }],
    };
    const promise = ["a VM respects a requested back-off"];
    const checkReceived = (receivedRefusals: ReadonlySet<string>) =>
      check(requests[0]!, { ...record, receivedRefusals })
        .filter((each) => promise.includes(each));
    expect(checkReceived(new Set(["request-1 i-1"]))).toEqual(promise);
    expect(checkReceived(new Set(["request-1 i-2"]))).toEqual([]);
  });

  it("may get requests of other VMs, or of those that have just started", () => {
    const times = [600, 700, 2_900];
    expect(checkRepeats(times, { vm: "vm-2" })).toEqual([]);
    expect(checkRepeats(times, { isDisturbed: true })).toEqual([]);
  });
});

describe("a cut of some VMs' links", () => {
  const cut = {
    vms: new Set(["vm-1"]),
    how: "reset" as const,
    from: 0,
    to: 6_000,
  };
  const observe = (vm: string, served: number, failed: number) =>
    Array.from({ length: served + failed }, (_, index) => ({
      vm,
      sentAt: 4_000,
      isServed: index < served,
      isDisturbed: false,
    }));

  it("is violated by callers served far worse than the others", () => {
    const others = observe("vm-2", 100, 0);
    expect(listBadCuts([cut], [...observe("vm-1", 0, 30), ...others]))
      .toHaveLength(1);
    expect(listBadCuts([cut], [...observe("vm-1", 30, 0), ...others]))
      .toEqual([]);
  });

  it("does not count in its first three seconds", () => {
    const early = [...observe("vm-1", 0, 30), ...observe("vm-2", 100, 0)]
      .map((each) => ({ ...each, sentAt: 2_000 }));
    expect(listBadCuts([cut], early)).toEqual([]);
  });
});
