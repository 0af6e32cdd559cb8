import { beforeAll, describe, expect, it } from "vitest";
import { HOST } from "../../platform/configurations.ts";
import { Crowd } from "../../support/crowd.ts";
import {
  buildDaemon,
  PlatformProcesses,
} from "../../support/platform_processes.ts";
import type { ListenerName } from "../../soak/soak_vm.ts";

const MAX_DESCRIPTORS = 200;
const CONNECTIONS = 300;
const SENDING_MS = 1_000;

const LISTENERS: ListenerName[] = [
  "callers",
  "readiness",
  "directory",
  "state",
  "peers",
];
const REQUEST = `GET /nothing HTTP/1.1\r\nHost: ${HOST}\r\n\r\n`;
const KINDS: Record<string, string> = {
  "that send nothing": "",
  "with a part of a head": REQUEST.slice(0, -2),
  "that were answered": REQUEST,
};

beforeAll(buildDaemon);

// Guards against a VM that has no descriptor left for replicas, or accepts no
// ordinary caller, while connections stand that send little or nothing.
describe("a VM serves beside more connections than it has descriptors", () => {
  for (const listener of LISTENERS) {
    for (const [kind, request] of Object.entries(KINDS)) {
      it(`${kind}, at its listener ${listener}`, async () => {
        const processes = await PlatformProcesses.create();
        await processes.addReplica("i-1");
        await processes.addReplica("i-2");
        await processes.addVms(1, { maxDescriptors: MAX_DESCRIPTORS });
        const [vm] = processes.vms;
        const crowd = await Crowd.create({
          ...vm!.getEndpoint(listener),
          connections: CONNECTIONS,
        });
        await crowd.sendOnce(request, SENDING_MS);
        expect(processes.countMostDescriptors()).toBeLessThan(MAX_DESCRIPTORS);
        expect((await processes.send(vm!)).status).toBe(200);
        expect(await processes.fetchReadiness(vm!)).toBe(200);
        expect(vm!.hasEnded, vm!.readLogTail()).toBe(false);
      });
    }
  }
});
