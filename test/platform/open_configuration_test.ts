import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration } from "./configurations.ts";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";

const NO_KEY = { authorization: "" };

// Guards against a configuration without tenants, under which all requests are
// refused for want of a key that nobody can have.
it("a configuration without tenants asks for no key", async () => {
  const fleet = await PlatformFleet.create();
  const [vm] = fleet.vms;
  const call = { path: "/safe/x", headers: NO_KEY };
  expect(await sendRequest(vm!, call)).toMatchObject({ status: 401 });
  fleet.store.put("op/config", buildConfiguration(2, { isOpen: true }));
  await waitUntil(() => vm!.vm.getSnapshot()?.version === 2);
  expect(await sendRequest(vm!, call)).toMatchObject({ status: 200 });
  const key = { "x-tenant": "tenant-1" };
  const keyed = await sendRequest(vm!, { path: "/safe/x", headers: key });
  expect(keyed).toMatchObject({ status: 200 });
  const sent = fleet.replicas.flatMap(({ ran }) => ran);
  expect(sent).toHaveLength(2);
  for (const { headers } of sent) {
    expect(headers).not.toHaveProperty("x-tenant");
    expect(headers).not.toHaveProperty("authorization");
  }
  fleet.store.put("op/config", buildConfiguration(3));
  await waitUntil(() => vm!.vm.getSnapshot()?.version === 3);
  expect(await sendRequest(vm!, call)).toMatchObject({ status: 401 });
});
