import {
  assignVacantShards,
  type Clock,
  type Counters,
  countOwners,
  findShard,
  handOverShards,
  insertByPreference,
  listOwners,
  type Member,
  mergeOwnership,
  NO_OWNERS,
  type Ownership,
  pause,
  type Random,
  type ShardOwner,
  sumTerms,
  TermRangeError,
  toTerm,
} from '@monsoonreach/core';
import {
  AppendConditionError,
  HistoryGoneError,
  type StoreClient,
  StoreUnavailableError,
  Topic,
} from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import { createOwnershipMessage, decodeOwnership } from './ownershipMessages.js';
import { encodeOwnershipRecord, findLoggedOwnership, type LoggedOwnership } from './ownershipRecords.js';
import type { PeerExchange } from './peerExchange.js';
import type { OwnershipMessage } from './peerMessages.js';

/** Interval between two checks for shards without an owner, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Delay of a claim for each live node that is preferred to this one, in milliseconds. */
const RANK_DELAY_MS = 200;
/** Largest number of preferred nodes that are waited for. */
const MAX_RANK = 3;
/** Largest random delay of a claim, in milliseconds. */
const MAX_JITTER_MS = 100;
/** Copies of a message that hands shards over while the store may be out; a datagram may be lost. */
const HANDOVER_COPIES = 2;

/** Dependencies of {@link ShardOwnership}. */
export interface ShardOwnershipOptions {
  readonly self: Member;
  readonly store: StoreClient;
  readonly exchange: PeerExchange;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  /** Number of engine instances; undefined while it is not known, as at the start. */
  readonly countInstances: () => number | undefined;
  /** Called when this node becomes an owner. */
  readonly onOwner: () => void;
}

/**
 * Knows which node owns which shard, and assigns the shards of nodes that are gone.
 *
 * Assignments are records of one topic of the store. Each is appended on condition that the writer has read all before
 * it, and its position gives the term of the owners that it names. A claim counts once its append has been acknowledged
 * at that position, or it is read there; so a term of a shard has one owner only. Nodes tell each other the owners that
 * they know; the higher term of a shard wins.
 */
export class ShardOwnership {
  private _ownership: Ownership = NO_OWNERS;
  private readonly _abortController = new AbortController();

  constructor(private readonly _options: ShardOwnershipOptions) {}

  /** Sum of the known terms; nodes with different sums tell each other the owners. */
  get stamp(): number {
    return sumTerms(this._ownership);
  }

  /** Whether this node owns any shard. */
  get isOwner(): boolean {
    return this._ownership.some((owner) => this._isSelf(owner));
  }

  /** Addresses of all owners. */
  listAddresses(): ReadonlySet<string> {
    return new Set(listOwners(this._ownership).map(({ address }) => address));
  }

  /** Owner of a fabric domain. */
  findOwner(fabricDomain: string): ShardOwner | undefined {
    return this._ownership[findShard(fabricDomain)];
  }

  /** Whether this node assigns requests to the fabric domain's targets, also while it stops without a successor. */
  isOwnerOf(fabricDomain: string): boolean {
    return this.findOwner(fabricDomain)?.id === this._options.self.id;
  }

  /** Term in which this node gives orders to the fabric domain; undefined if it doesn't. */
  findOwnTerm(fabricDomain: string): number | undefined {
    const owner = this.findOwner(fabricDomain);
    return this._isSelf(owner) ? owner?.term : undefined;
  }

  /** Applies the owners that a peer knows. */
  receive(message: OwnershipMessage): void {
    this._apply(decodeOwnership(message), 'peer');
  }

  /** Sends the known owners to a peer that knows older ones. */
  answerStamp(stamp: number, address: string): void {
    if (stamp < this.stamp) this._options.exchange.send(address, createOwnershipMessage(this._ownership));
  }

  /** Asks an owner that does not answer requests whether it is there; it loses its shards if it is not. */
  checkOwner(address: string): void {
    const owner = listOwners(this._ownership).find((other) => other.address === address);
    if (owner) void this._options.exchange.probe(owner);
  }

  async run(): Promise<void> {
    const { signal } = this._abortController;
    while (!signal.aborted) {
      if (this._findAssignment(0)) await this._tryAssign();
      await pause(CHECK_INTERVAL_MS, signal);
    }
  }

  /** Stops acting as owner and hands this node's shards over to another one. */
  stop(): void {
    this._abortController.abort();
    const { self, exchange, log } = this._options;
    const handedOver = handOverShards(this._ownership, self.id, exchange.listLive());
    if (!handedOver) return;
    this._ownership = handedOver;
    log.info('shards handed over', { to: listOwners(handedOver).map(({ id }) => id) });
    for (let copy = 0; copy < HANDOVER_COPIES; copy++) {
      exchange.broadcast(createOwnershipMessage(this._ownership));
    }
  }

  /** Returns the owners after the vacant shards are assigned; undefined if there is nothing to assign yet. */
  private _findAssignment(term: number): Ownership | undefined {
    const { self, exchange, countInstances } = this._options;
    const instances = countInstances();
    if (instances === undefined) return undefined;
    return assignVacantShards({
      ownership: this._ownership,
      candidates: insertByPreference(exchange.listLive(), self),
      ownerCount: countOwners(instances),
      term,
    });
  }

  private async _tryAssign(): Promise<void> {
    const { self, exchange, random, counters, log } = this._options;
    const { signal } = this._abortController;
    const rank = insertByPreference(exchange.listLive(), self).findIndex(({ id }) => id === self.id);
    await pause(Math.min(rank, MAX_RANK) * RANK_DELAY_MS + random.next() * MAX_JITTER_MS, signal);
    if (signal.aborted || !(await this._isVacant())) return;
    try {
      await this._assign();
    } catch (error) {
      counters.add('monsoonreach_shard_claims_failed_total');
      if (error instanceof AppendConditionError) return;
      if (!isExpected(error)) throw error;
      log.warn('shards cannot be assigned', { error: error.message });
    }
  }

  /** Whether shards have no owner: one that was not heard of lately is asked directly before it loses its shards. */
  private async _isVacant(): Promise<boolean> {
    const { self, exchange } = this._options;
    if (!this._findAssignment(0)) return false;
    const live = new Set([self.id, ...exchange.listLive().map(({ id }) => id)]);
    const silent = listOwners(this._ownership).filter(({ id }) => !live.has(id));
    await Promise.all(silent.map((owner) => exchange.probe(owner)));
    return this._findAssignment(0) !== undefined;
  }

  private async _assign(): Promise<void> {
    const { store, counters, exchange } = this._options;
    const { end, ownership } = await this._readRecords();
    if (ownership) this._apply(ownership, 'store');
    const assigned = this._findAssignment(toTerm(end));
    if (!assigned || this._abortController.signal.aborted) return;
    const { era } = await store.append(Topic.shards, encodeOwnershipRecord(assigned, end), end.offset);
    if (era !== end.era) {
      // The store was restored after the read: another node may have been given the same term before.
      counters.add('monsoonreach_shard_claims_failed_total');
      return;
    }
    this._apply(assigned, 'own record');
    exchange.broadcast(createOwnershipMessage(this._ownership));
  }

  private async _readRecords(): Promise<LoggedOwnership> {
    const { store } = this._options;
    const read = async (from: number) =>
      findLoggedOwnership(await store.read({ topic: Topic.shards, from, waitMs: 0 }), from);
    try {
      return await read(0);
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) throw error;
      return read(error.first.offset);
    }
  }

  private _apply(reported: Ownership, source: string): void {
    const merged = mergeOwnership(this._ownership, reported);
    if (merged === this._ownership) return;
    const ownedBefore = this._ownership.filter((owner) => this._isSelf(owner)).length;
    this._ownership = merged;
    const owned = merged.filter((owner) => this._isSelf(owner)).length;
    if (owned === ownedBefore) return;
    this._options.log.info('owned shards changed', { shards: owned, before: ownedBefore, source });
    if (ownedBefore === 0) this._options.onOwner();
  }

  private _isSelf(owner: ShardOwner | undefined): boolean {
    return owner?.id === this._options.self.id && !this._abortController.signal.aborted;
  }
}

/** Whether a claim may fail with this error and is made again later. */
function isExpected(error: unknown): error is StoreUnavailableError | HistoryGoneError | TermRangeError {
  return (
    error instanceof StoreUnavailableError ||
    error instanceof HistoryGoneError ||
    error instanceof TermRangeError
  );
}
