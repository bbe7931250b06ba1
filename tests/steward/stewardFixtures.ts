import {
  type Configuration,
  type ControlBody,
  controlDefinition,
  type ControlRejection,
  type Groups,
  parseConfiguration,
  type ReductionSnapshot,
  StreamReducer,
  type Verdict,
} from '@monsoonreach/core';
import type { Observation } from '@monsoonreach/steward';
import type { EngineStatus } from '@monsoonreach/targets';

/** The control stream in memory: a record is applied when it is written. */
export class ControlStream {
  readonly written: ControlBody[] = [];
  private _reducer = new StreamReducer(controlDefinition);
  private _position = 0;

  get groups(): Groups {
    return this._reducer.state;
  }

  write(body: ControlBody, writer = 's1'): Verdict<ControlRejection> {
    this.written.push(body);
    this._position++;
    return this._reducer.apply(this._position, {
      format: 1,
      writer: { address: writer, incarnation: '1' },
      sequence: this._position,
      writtenAtMs: 0,
      body,
    });
  }

  /** Goes on from a checkpoint of the present state, as a reader of a trimmed log does. */
  loadCheckpoint(): void {
    const snapshot = JSON.parse(JSON.stringify(this._reducer.snapshot())) as ReductionSnapshot;
    this._reducer = new StreamReducer(controlDefinition, snapshot);
  }

  /** Releases the addresses under boot `b1`, assigns them to a group, and returns its epoch. */
  form(group: string, addresses: readonly string[]): number {
    const lease = this.write({ kind: 'lease', shard: 'f', basis: this._leasePosition() }).position;
    for (const address of addresses) {
      if (this.groups.findInstance(address)?.kind !== 'released') this.release(address);
    }
    const members = addresses.map((address) => ({ address, boot: 'b1' }));
    const plan = { shard: 'f', lease, group, model: 'm', version: '1', fabricDomain: 'f', members };
    return this.write({ kind: 'assign', ...plan }).position;
  }

  /** Dissolves a group and returns the position of the dissolution. */
  dissolve(group: string): number {
    const epoch = this.groups.findGroup(group)?.epoch ?? 0;
    const plan = { shard: 'f', lease: this._leasePosition(), group, epoch };
    return this.write({ kind: 'dissolve', ...plan, reason: 'instance-missing' }).position;
  }

  release(address: string, boot = 'b1'): Verdict<ControlRejection> {
    const basis = this.groups.findInstance(address)?.position ?? 0;
    return this.write({ kind: 'release', instance: { address, boot }, basis, settled: [] });
  }

  /** Records the intent of an order that carries out the group's present state, and returns its position. */
  intend(address: string, order: 'load' | 'stop', group: string): number {
    const { epoch = 0, dissolvedAt } = this.groups.findGroup(group) ?? {};
    const current = order === 'load' ? epoch : (dissolvedAt ?? 0);
    return this.write({ kind: 'intent', address, order, group, epoch: current }, 's2').position;
  }

  private _leasePosition(): number {
    return this.groups.findLease('f')?.position ?? 0;
  }
}

/** A configuration with one model of two instances a group. */
export function createConfiguration(options: { readonly checksFencing: boolean }): Configuration {
  return parseConfiguration(`[deployment]
name = test
return-grace = 1s
[engine.e]
checks-fencing = ${options.checksFencing ? 'yes' : 'no'}
order-timeout = 1s
[model.m]
version = 1
engine = e
groups = 1
instances-per-group = 2
group-concurrency = 4
first-token-timeout = 4s
token-timeout = 2s
deadline = 20s
[workspace.w]
token-sha256 = ${'0'.repeat(64)}
models = m
`);
}

/** The status of an idle engine under boot `b1`. */
export const IDLE: EngineStatus = {
  boot: 'b1',
  phase: 'idle',
  group: null,
  epoch: 0,
  model: null,
  version: null,
  fencing: 0,
  inFlight: 0,
  leaving: false,
  failureDomain: 'a',
  fabricDomain: 'f',
  accelerators: 8,
};

/** The status of an engine that is ready for a group at an epoch. */
export function readyFor(group: string, epoch: number): EngineStatus {
  return { ...IDLE, phase: 'ready', group, epoch, model: 'm', version: '1', fencing: epoch };
}

/** An answered probe. */
export function observe(status: EngineStatus, observation: Partial<Observation> = {}): Observation {
  return {
    status,
    probedAtMs: 0,
    basis: { position: 0, openIntents: [] },
    silence: undefined,
    hasConnectionFailed: false,
    idleSinceMs: undefined,
    ...observation,
  };
}
