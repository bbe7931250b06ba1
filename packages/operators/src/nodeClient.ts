import * as z from 'zod';

const REQUEST_TIMEOUT_MS = 2_000;

const instanceSchema = z.object({
  address: z.string(),
  kind: z.string(),
  failureDomain: z.string(),
  accelerators: z.number(),
  state: z.string(),
});

const groupSchema = z.object({
  id: z.string(),
  model: z.string(),
  version: z.string(),
  fabricDomain: z.string(),
  members: z.array(z.string()),
  isDissolved: z.boolean(),
});

const statusSchema = z.object({
  role: z.enum(['entry', 'steward']),
  node: z.string(),
  failureDomain: z.string(),
  isReady: z.boolean(),
  configuration: z.number(),
  groups: z.array(groupSchema).default([]),
  whole: z.array(z.string()).default([]),
  instances: z.array(instanceSchema).default([]),
  counters: z.record(z.string(), z.number()).default({}),
});

/** Status of one process, as served at `/status`. */
export type NodeStatus = Readonly<z.infer<typeof statusSchema>>;

/** Result of a status request: the status, or `silent` if the node gave no valid response in time. */
export type NodeStatusResult =
  | { readonly kind: 'answered'; readonly address: string; readonly status: NodeStatus }
  | { readonly kind: 'silent'; readonly address: string };

/** Requests the status of every node. Never rejects; nodes that fail are reported as `silent`. */
export function readStatuses(addresses: readonly string[]): Promise<readonly NodeStatusResult[]> {
  return Promise.all(addresses.map(readStatus));
}

async function readStatus(address: string): Promise<NodeStatusResult> {
  try {
    const response = await fetch(`http://${address}/status`, {
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return { kind: 'answered', address, status: statusSchema.parse(await response.json()) };
  } catch {
    return { kind: 'silent', address };
  }
}

/** Requests from every node what it recorded about a request or group; nodes without a record are left out. */
export async function readExplanations(
  addresses: readonly string[],
  subject: string,
): Promise<readonly { readonly address: string; readonly lines: readonly string[] }[]> {
  const explanations = await Promise.all(addresses.map((address) => readExplanation(address, subject)));
  return explanations.filter(({ lines }) => lines.length > 0);
}

async function readExplanation(address: string, subject: string) {
  try {
    const url = `http://${address}/explain/${encodeURIComponent(subject)}`;
    const response = await fetch(url, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
    const { lines } = z.object({ lines: z.array(z.string()) }).parse(await response.json());
    return { address, lines };
  } catch {
    return { address, lines: [] };
  }
}
