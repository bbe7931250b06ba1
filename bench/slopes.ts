import { create, toBinary } from '@bufbuild/protobuf';
import type { Groups } from '@monsoonreach/core';
import {
  type ClaimBody,
  claimsDefinition,
  createRandom,
  type ControlBody,
  controlDefinition,
  hash32,
  Loads,
  ManualClock,
  Membership,
  parseConfiguration,
  placeByRendezvous,
  planFabricDomain,
  type PlannedInstance,
  Router,
  splitCheckpoint,
  StreamReducer,
  Stragglers,
} from '@monsoonreach/core';
import {
  ExchangeRequestSchema,
  ExchangeResponseSchema,
  LeasesResponseSchema,
  toDigestMessage,
  toKnownMessages,
} from '@monsoonreach/peers';

/** A quantity measured at several sizes, with a line fitted to the measurements. */
export interface Slope {
  readonly name: string;
  readonly unit: string;
  readonly sizeUnit: string;
  readonly points: readonly { readonly size: number; readonly value: number }[];
  /** Least-squares fit: value = intercept + perUnit * size. */
  readonly intercept: number;
  readonly perUnit: number;
  /** Largest distance of a point from the line, as a share of the largest value. */
  readonly maxRelativeResidual: number;
}

const SEED = 7;
const REPEATS = 5;

/** Fits a line to the points by least squares. */
export function fitSlope(name: string, unit: string, sizeUnit: string, points: Slope['points']): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanValue = points.reduce((sum, { value }) => sum + value, 0) / count;
  const variance = points.reduce((sum, { size }) => sum + (size - meanSize) ** 2, 0);
  const covariance = points.reduce(
    (sum, { size, value }) => sum + (size - meanSize) * (value - meanValue),
    0,
  );
  const perUnit = variance === 0 ? 0 : covariance / variance;
  const intercept = meanValue - perUnit * meanSize;
  const largestValue = Math.max(...points.map(({ value }) => Math.abs(value)), Number.MIN_VALUE);
  const largestResidual = Math.max(
    ...points.map(({ size, value }) => Math.abs(value - intercept - perUnit * size)),
  );
  return {
    name,
    unit,
    sizeUnit,
    points,
    intercept,
    perUnit,
    maxRelativeResidual: largestResidual / largestValue,
  };
}

/** Evaluates the fitted line at a size; never negative. */
export function evaluateSlope(slope: Slope, size: number): number {
  return Math.max(0, slope.intercept + slope.perUnit * size);
}

/** Measures the median CPU time of one run of `work`, in milliseconds. */
function measureCpuMs(work: () => void, times: number): number {
  const runs = Array.from({ length: REPEATS }, () => {
    const before = process.cpuUsage();
    for (let index = 0; index < times; index++) work();
    const { user, system } = process.cpuUsage(before);
    return (user + system) / 1_000 / times;
  });
  return runs.sort((a, b) => a - b)[Math.floor(REPEATS / 2)] ?? 0;
}

interface ExchangeUsage {
  readonly bytesPerSecond: number;
  readonly cpuMsPerSecond: number;
  readonly staleMs: number;
}

/** HTTP/2 frames and compressed headers of one call, request and response; see `measureCallBytes`. */
export const CALL_OVERHEAD_BYTES = 84;

/** Runs digest exchanges between in-memory memberships for 120 s of simulated time and encodes every message. */
function measureExchange(nodes: number): ExchangeUsage {
  const clock = new ManualClock();
  const random = createRandom(SEED);
  const names = Array.from({ length: nodes }, (_, index) => `10.${index >> 8}.${index & 255}.7:7400`);
  const members = names.map((node, index) => {
    const self = { node, incarnation: 1, role: 'entry' as const, failureDomain: `d${index % 6}` };
    return new Membership({ clock, random, self, seeds: names.slice(0, 6) });
  });
  const byName = new Map(members.map((member) => [member.own.node, member]));
  const allDigests = members.map(({ own }) => own);
  for (const member of members) member.merge(allDigests);
  const seconds = 120;
  let bytes = 0;
  const before = process.cpuUsage();
  for (let second = 0; second < seconds; second++) {
    for (const member of members) {
      clock.advance(1_000 / nodes);
      bytes += exchangeOnce(member, byName, second);
    }
  }
  const { user, system } = process.cpuUsage(before);
  const intervalMs = members[0]?.changeIntervalMs() ?? 0;
  const versions = members.map(
    (member) => new Map(member.members().map((digest) => [digest.node, digest.version])),
  );
  const lags = members.flatMap(({ own }, index) =>
    versions.map((known, other) =>
      other === index ? 0 : (own.version - (known.get(own.node) ?? 0)) * intervalMs,
    ),
  );
  return {
    bytesPerSecond: (bytes * 2) / nodes / seconds,
    cpuMsPerSecond: ((user + system) / 1_000 / nodes / seconds) * 1,
    staleMs: lags.reduce((sum, lag) => sum + lag, 0) / Math.max(1, lags.length),
  };
}

/** Runs one exchange; returns the bytes of request and response. The demand changes every second. */
function exchangeOnce(member: Membership, byName: ReadonlyMap<string, Membership>, second: number): number {
  const demand = [{ workspace: 'aarhus-fitters', inUse: second, waiting: 1 }];
  member.updateOwn({ isLeaving: false, configuration: 4_097, demand, suspects: [] });
  const peer = byName.get(member.choosePeer() ?? '');
  if (!peer) return 0;
  const isFull = member.isFullExchangeDue();
  const sentDigests = isFull ? [member.own] : member.takeUpdates();
  const known = isFull ? toKnownMessages(member.versions()) : [];
  const digests = sentDigests.map(toDigestMessage);
  const request = create(ExchangeRequestSchema, { from: member.own.node, digests, known, full: isFull });
  peer.merge(sentDigests);
  const receivedDigests = isFull ? peer.newerThan(member.versions()) : peer.takeUpdates();
  const response = create(ExchangeResponseSchema, { digests: receivedDigests.map(toDigestMessage) });
  member.merge(receivedDigests);
  const sent = toBinary(ExchangeRequestSchema, request).length;
  return sent + toBinary(ExchangeResponseSchema, response).length + CALL_OVERHEAD_BYTES;
}

function measureExchangeSlopes(): readonly Slope[] {
  const sizes = [50, 100, 200, 410];
  const figures = sizes.map((size) => ({ size, ...measureExchange(size) }));
  const points = (key: keyof ExchangeUsage) =>
    figures.map((figure) => ({ size: figure.size, value: figure[key] }));
  return [
    fitSlope('digest exchange, bytes', 'B/s a node', 'nodes', points('bytesPerSecond')),
    fitSlope('digest exchange, processor', 'ms/s a node', 'nodes', points('cpuMsPerSecond')),
    fitSlope('digest exchange, age of what is known', 'ms', 'nodes', points('staleMs')),
  ];
}

/** Builds the control state of a fleet. The slopes use groups of 8 in fabric domains of 64 instances. */
function createControlState(groups: number, perGroup: number, instancesPerDomain: number) {
  const reducer = new StreamReducer(controlDefinition);
  let position = 0;
  const writer = { address: '10.0.0.1:7400', incarnation: 'a' };
  const write = (body: ControlBody) => {
    position++;
    reducer.apply(position, { format: 1, writer, sequence: position, writtenAtMs: 0, body });
    return position;
  };
  const leases = new Map<string, number>();
  for (let group = 0; group < groups; group++) {
    const domain = `f${Math.floor((group * perGroup) / instancesPerDomain)}`;
    const lease = leases.get(domain) ?? write({ kind: 'lease', shard: domain, basis: 0 });
    leases.set(domain, lease);
    const members = Array.from({ length: perGroup }, (_, index) => ({
      address: formatInstanceAddress(group * perGroup + index),
      boot: `boot-${group}-${index}`,
    }));
    for (const instance of members) write({ kind: 'release', instance, basis: 0, settled: [] });
    write({
      kind: 'assign',
      shard: domain,
      lease,
      group: `assistant-${group}`,
      model: 'assistant',
      version: '1',
      fabricDomain: domain,
      members,
    });
  }
  return reducer;
}

function formatInstanceAddress(index: number): string {
  return `10.${100 + (index >> 16)}.${(index >> 8) & 255}.${index & 255}:8000`;
}

function measureHeapMiB(create: () => unknown): number {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const retained = create();
  globalThis.gc?.();
  const used = process.memoryUsage().heapUsed - before;
  return retained === undefined ? 0 : used / 1_048_576;
}

function measureControlSlopes(): readonly Slope[] {
  const sizes = [75, 150, 300, 600];
  const memory = sizes.map((size) => ({
    size,
    value: measureHeapMiB(() => createControlState(size, 8, 64)),
  }));
  const checkpoint = sizes.map((size) => {
    const chunks = splitCheckpoint(createControlState(size, 8, 64).snapshot(), 1, 'id');
    return { size, value: chunks.reduce((sum, { data }) => sum + data.length, 0) / 1_024 };
  });
  return [
    fitSlope('control state, memory', 'MiB', 'groups of 8', memory),
    fitSlope('control state, checkpoint', 'KiB', 'groups of 8', checkpoint),
  ];
}

const CONFIGURATION = parseConfiguration(`[deployment]
name = slopes
[engine.e]
checks-fencing = yes
[model.assistant]
version = 1
engine = e
groups = 600
instances-per-group = 8
`);

/** CPU time of planning one fabric domain, by the size of the fleet. */
function measurePlanSlope(): Slope {
  const points = [75, 150, 300, 600].map((size) => {
    const groups: Groups = createControlState(size, 8, 64).state;
    const instances = new Map<string, PlannedInstance>();
    for (let index = 0; index < size * 8; index++) {
      const address = formatInstanceAddress(index);
      const place = { failureDomain: `d${index % 6}`, fabricDomain: `f${Math.floor(index / 64)}` };
      const state = { isLeaving: false, isListed: true, isReachable: true, isReleaseOutdated: false };
      instances.set(address, { address, ...place, accelerators: 1, ...state });
    }
    const plan = () =>
      planFabricDomain({
        groups,
        configuration: CONFIGURATION,
        instances,
        fabricDomain: 'f0',
        health: () => ({ phase: 'whole', missing: [], restarted: [] }),
        loadMs: 10_000,
      });
    return { size, value: measureCpuMs(plan, 3) };
  });
  return fitSlope('plan of one fabric domain, processor', 'ms', 'groups of 8 in the fleet', points);
}

/** CPU time of assigning watchers to all groups, by the size of the fleet. */
function measureWatchSlope(): Slope {
  const stewards = Array.from({ length: 410 }, (_, index) => ({
    id: `10.0.${index >> 8}.${index & 255}:7400`,
    failureDomain: `d${index % 6}`,
  }));
  const points = [75, 150, 300, 600].map((size) => {
    const place = () => {
      for (let group = 0; group < size; group++)
        placeByRendezvous(`watch/assistant-${group}`, stewards, { count: 2, preferredDomain: 'd1' });
    };
    return { size, value: measureCpuMs(place, 1) };
  });
  return fitSlope('placing the watchers of all groups, processor', 'ms', 'groups at 410 stewards', points);
}

/** Bytes of a lease query and its response, by the number of groups in the response. */
function measureLeaseSlope(): Slope {
  const points = [1, 3, 10, 30].map((size) => {
    const groups = Array.from({ length: size }, (_, index) => ({
      group: `assistant-${String(index).padStart(12, '0')}`,
      epoch: 12_345_678n,
      remainingMs: 1_800,
      inFlight: 7,
      loadAgeMs: 420,
    }));
    const message = create(LeasesResponseSchema, { steward: '10.0.0.1:7400', groups });
    return { size, value: toBinary(LeasesResponseSchema, message).length + CALL_OVERHEAD_BYTES };
  });
  return fitSlope('lease query and answer, bytes', 'B', 'groups in the answer', points);
}

/** CPU time of one routing decision, by the number of candidate groups. */
function measureRouteSlope(): Slope {
  const points = [9, 18, 36, 72].map((size) => {
    const clock = new ManualClock();
    const router = new Router({
      loads: new Loads(clock),
      stragglers: new Stragglers(clock),
      random: createRandom(SEED),
      region: 'r',
    });
    const candidates = Array.from({ length: size }, (_, index) => ({
      id: `g${index}`,
      region: 'r',
      concurrency: 16,
    }));
    let turn = 0;
    const route = () => router.choose(candidates, { affinityKey: `prompt ${turn++}`, tried: new Set() });
    return { size, value: measureCpuMs(() => void route(), 2_000) * 1_000 };
  });
  return fitSlope('one routing decision, processor', 'us', 'groups to choose from', points);
}

function formatKey(index: number): string {
  const time = (1_800_000_000_000 + index).toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${hash32(String(index)).toString(16).padStart(12, '0')}`;
}

function createClaimsState(count: number) {
  const reducer = new StreamReducer(claimsDefinition);
  const writer = { address: '10.0.0.1:7400', incarnation: 'a' };
  for (let index = 1; index <= count; index++) {
    const body: ClaimBody = {
      kind: 'claim',
      workspace: 'aarhus-fitters',
      key: formatKey(index),
      fingerprint: 'f'.repeat(64),
    };
    reducer.apply(index, { format: 1, writer, sequence: index, writtenAtMs: 0, body });
  }
  return reducer;
}

function measureClaimSlopes(): readonly Slope[] {
  const sizes = [12_500, 25_000, 50_000, 100_000];
  const memory = sizes.map((size) => ({ size, value: measureHeapMiB(() => createClaimsState(size)) }));
  const apply = sizes.map((size) => ({ size, value: measureCpuMs(() => void createClaimsState(size), 1) }));
  return [
    fitSlope('live claims, memory', 'MiB', 'claims', memory),
    fitSlope('reading claims, processor', 'ms', 'claims', apply),
  ];
}

/** Measures every slope on the capacity page. */
export function measureSlopes(): readonly Slope[] {
  return [
    ...measureExchangeSlopes(),
    measureLeaseSlope(),
    ...measureControlSlopes(),
    measurePlanSlope(),
    measureWatchSlope(),
    measureRouteSlope(),
    ...measureClaimSlopes(),
  ];
}
