/**
 * Parser of the membership list that the platform publishes.
 *
 * @module
 */
import { isIP } from "node:net";
import { z } from "zod";
import { StepError } from "../errors.ts";
import { toId } from "../ids.ts";
import type { DataCentre, PoolName, VmId } from "../ids.ts";
import type { ListedVm, MembershipList } from "./membership_list.ts";
import { formatPath } from "./record_problem.ts";

const STEP = "read_membership";
const MAX_VMS = 100_000;
const MAX_PORT = 65_535;
const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const ID_EXPECTED = "1 to 63 letters, digits and . _ -";
const ADDRESS_EXPECTED = "an IP address";
const REVISION_EXPECTED = "a whole number of at least 0";

const ID_FIELD = z.string({ error: ID_EXPECTED })
  .regex(ID_PATTERN, { error: ID_EXPECTED });

/**
 * Unknown fields are ignored, since the platform owns this format. Rejecting
 * them would leave every VM with an outdated list once the platform adds one.
 */
const VM_SCHEMA = z.object({
  id: ID_FIELD,
  role: z.enum(["entry", "upstream"], { error: "entry or upstream" }),
  state: z.enum(["live", "leaving"], { error: "live or leaving" }),
  data_centre: ID_FIELD,
  address: z.string({ error: ADDRESS_EXPECTED })
    .refine((text) => isIP(text) !== 0, { error: ADDRESS_EXPECTED }),
  port: buildPortField(1),
  peer_port: buildPortField(0).nullish(),
  pool: ID_FIELD.nullish(),
}).superRefine((vm, context) => {
  if (vm.role === "upstream" && !vm.pool) {
    const message = "a pool's name, for an upstream";
    context.addIssue({ code: "custom", path: ["pool"], message });
  }
  if (vm.role === "entry" && !vm.peer_port) {
    const message = "a port of at least 1, for an entry VM";
    context.addIssue({ code: "custom", path: ["peer_port"], message });
  }
});

const LIST_SCHEMA = z.object({
  revision: z.number({ error: REVISION_EXPECTED })
    .int({ error: REVISION_EXPECTED }).min(0, { error: REVISION_EXPECTED }),
  vms: z.array(VM_SCHEMA, { error: "a list of VMs" }).max(MAX_VMS, {
    error: `at most ${MAX_VMS} VMs`,
  }),
});

/**
 * Parses a membership list. Throws a `StepError` that names the path and the
 * expected value; duplicate VM ids are rejected.
 */
export function parseMembershipList(value: unknown): MembershipList {
  const result = LIST_SCHEMA.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    throw buildError(formatPath(issue?.path ?? []), `${issue?.message}`);
  }
  checkIds(result.data.vms);
  return {
    revision: result.data.revision,
    vms: result.data.vms.map(toListedVm),
  };
}

function buildPortField(min: number) {
  const error = `a port from ${min} to ${MAX_PORT}`;
  return z.number({ error }).int({ error }).min(min, { error })
    .max(MAX_PORT, { error });
}

/**
 * With a duplicate id, two VMs could compute different shard owners from the
 * same list, depending on which of the two entries their look-up finds.
 */
function checkIds(vms: readonly { id: string }[]): void {
  const seen = new Set<string>();
  for (const [index, { id }] of vms.entries()) {
    if (seen.has(id)) {
      throw buildError(`$.vms[${index}].id`, "an id that no other VM has");
    }
    seen.add(id);
  }
}

function toListedVm(vm: z.output<typeof VM_SCHEMA>): ListedVm {
  return {
    id: toId<VmId>(vm.id),
    role: vm.role,
    state: vm.state,
    dataCentre: toId<DataCentre>(vm.data_centre),
    address: vm.address,
    port: vm.port,
    peerPort: vm.peer_port ?? 0,
    pool: vm.pool ? toId<PoolName>(vm.pool) : undefined,
  };
}

function buildError(path: string, expected: string): StepError {
  return new StepError(
    { step: STEP },
    `Membership list: ${path}: expected ${expected}`,
  );
}
