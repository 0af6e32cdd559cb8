import { beforeAll, describe, expect, it, onTestFinished } from "vitest";
import {
  type CutHead,
  CutHeadReplica,
} from "../../platform/cut_head_replica.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";

const SEAL = "x-request-id: REQUEST-ID\r\nx-response-seal: seal\r\n";
const STREAM = "content-type: text/event-stream\r\n";
const HEADS = {
  "without a length": `HTTP/1.1 200 OK\r\n${SEAL}\r\n`,
  "with a length": `HTTP/1.1 200 OK\r\n${SEAL}content-length: 0\r\n\r\n`,
  "in chunks": `HTTP/1.1 200 OK\r\n${SEAL}transfer-encoding: chunked\r\n\r\n`,
  "of a stream": `HTTP/1.1 200 OK\r\n${SEAL}${STREAM}\r\n`,
  "of HTTP/1.0": `HTTP/1.0 200 OK\r\n${SEAL}\r\n`,
  "with bare line feeds": `HTTP/1.1 200 OK\n${SEAL}\n`.replaceAll("\r\n", "\n"),
  "without a body": `HTTP/1.1 204 No Content\r\n${SEAL}\r\n`,
};
const BEFORE = {
  "": "",
  "after interim answers": "HTTP/1.1 100 Continue\r\n\r\n".repeat(3) +
    "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
};
const PATHS = ["/safe/x", "/unsafe/x", "/stream/x", "/restream/x"];
const ENDS = ["close", "reset"] as const;
const CUTS = 12;
const PAUSE_MS = 300;

interface Fleet {
  fleet: PlatformProcesses;
  replica: CutHeadReplica;
}

/** Two VMs before a replica that cuts its answers' heads. */
async function createFleet(): Promise<Fleet> {
  const fleet = await PlatformProcesses.create();
  const replica = CutHeadReplica.create("i-cut");
  await replica.start();
  onTestFinished(() => replica.stop());
  fleet.listReplica(replica);
  await fleet.addVms(2);
  return { fleet, replica };
}

/** Sends requests for all paths; returns those that were answered by success. */
async function listSuccesses(
  { fleet, replica }: Fleet,
  cut: CutHead,
): Promise<string[]> {
  replica.cut = cut;
  const sent = PATHS.map((path, index) =>
    fleet.send(fleet.vms[index % fleet.vms.length]!, path)
  );
  const answers = await Promise.all(sent);
  return answers.flatMap(({ status, isWhole, body }, index) =>
    status === 0 || status >= 400
      ? []
      : [`${PATHS[index]} ${cut.share} ${status} ${isWhole} ${body}`]
  );
}

beforeAll(buildDaemon);

// Guards against callers that take a part of an answer for a whole one, since its
// replica stopped in the middle of the head.
describe("a head that ends in its middle is no success", () => {
  for (const [form, head] of Object.entries(HEADS)) {
    for (const [when, before] of Object.entries(BEFORE)) {
      it(`${form} ${when}`.trim(), async () => {
        const fleet = await createFleet();
        const found: string[] = [];
        for (let step = 0; step <= CUTS; step++) {
          for (const end of ENDS) {
            const share = step / CUTS;
            const cut = { before, head, share, end, pauseMs: 0 };
            found.push(...await listSuccesses(fleet, cut));
          }
        }
        expect(found).toEqual([]);
        expect(fleet.replica.seen).toBeGreaterThan(CUTS);
      });
    }
  }

  it("in pieces over some time", async () => {
    const fleet = await createFleet();
    const head = HEADS["without a length"];
    for (const end of ENDS) {
      const cut = { before: "", head, share: 1, end, pauseMs: PAUSE_MS };
      expect(await listSuccesses(fleet, cut)).toEqual([]);
    }
  });
});
