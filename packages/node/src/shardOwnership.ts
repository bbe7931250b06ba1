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
  type StorePosition,
  StoreUnavailableError,
  Topic,
} from '@monsoonreach/platform';
import type { DecisionLog } from './decisionLog.js';
import { createOwnershipMessage, decodeOwnership, hashOwnership } from './ownershipMessages.js';
import { encodeOwnershipRecord, findLoggedOwnership, type LoggedOwnership } from './ownershipRecords.js';
import type { PeerExchange } from './peerExchange.js';
import type { Digest, OwnershipMessage } from './peerMessages.js';
import type { StoreHistory } from './storeHistory.js';

/** Interval between two checks for shards without an owner, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Delay of a record for each live node that is preferred to this one, in milliseconds. */
const RANK_DELAY_MS = 200;
/** Largest number of preferred nodes that are waited for. */
const MAX_RANK = 3;
/** Largest random delay of a record, in milliseconds. */
const MAX_JITTER_MS = 100;
/** Copies of a message that hands shards over while the store may be out; a datagram may be lost. */
const HANDOVER_COPIES = 2;

/** What a digest tells of the owners that its sender knows. */
export type OwnershipSummary = Pick<Digest, 'ownershipStamp' | 'ownershipHash'>;

/** Dependencies of {@link ShardOwnership}. */
export interface ShardOwnershipOptions {
  readonly self: Member;
  readonly store: StoreClient;
  readonly history: StoreHistory;
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
 *
 * A restored store may have lost the last records. The known owners are then recorded again, with the same terms.
 */
export class ShardOwnership {
  private _ownership: Ownership = NO_OWNERS;
  private readonly _abortController = new AbortController();
  /** Era of the restored store, until its log names the known owners. */
  private _unrecordedEra: number | undefined;

  constructor(private readonly _options: ShardOwnershipOptions) {
    _options.history.onRestored((era) => {
      this._unrecordedEra = era;
    });
  }

  /** Sum of the known terms; it rises with each change of the known owners. */
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

  /** Describes the known owners in digests. */
  describe(): OwnershipSummary {
    return { ownershipStamp: this.stamp, ownershipHash: hashOwnership(this._ownership) };
  }

  /** Sends the known owners to a peer that knows older ones, or others with the same sum of terms. */
  answerDigest({ ownershipStamp, ownershipHash }: OwnershipSummary, address: string): void {
    const { stamp } = this;
    const isOlder = ownershipStamp < stamp;
    const mayDiffer = ownershipStamp === stamp && ownershipHash !== undefined;
    if (isOlder || (mayDiffer && ownershipHash !== hashOwnership(this._ownership)))
      this._options.exchange.send(address, createOwnershipMessage(this._ownership));
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
      else if (this._unrecordedEra !== undefined) await this._tryRecordAgain();
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
    const { self, exchange } = this._options;
    const { signal } = this._abortController;
    await this._waitForPreferred(insertByPreference(exchange.listLive(), self));
    if (signal.aborted || !(await this._isVacant())) return;
    await this._tryWrite((_logged, end) => this._findAssignment(toTerm(end)));
  }

  /** Records the owners that a restored store may have forgotten; one of the first nodes does so, owners before others. */
  private async _tryRecordAgain(): Promise<void> {
    const { self, exchange } = this._options;
    const live = insertByPreference(exchange.listLive(), self);
    const ownerIds = listOwners(this._ownership).map(({ id }) => id);
    const owners = ownerIds.flatMap((id) => live.find((member) => member.id === id) ?? []);
    const writers = [...owners, ...live.filter(({ id }) => !ownerIds.includes(id))].slice(0, MAX_RANK + 1);
    if (ownerIds.length === 0 || !writers.some(({ id }) => id === self.id)) return;
    await this._waitForPreferred(writers);
    if (this._abortController.signal.aborted) return;
    await this._tryWrite((logged) =>
      mergeOwnership(logged, this._ownership) === logged ? undefined : this._ownership,
    );
  }

  /** Lets the nodes before this one write first. */
  private async _waitForPreferred(nodes: readonly Member[]): Promise<void> {
    const { self, random } = this._options;
    const rank = nodes.findIndex(({ id }) => id === self.id);
    const delayMs = Math.min(rank, MAX_RANK) * RANK_DELAY_MS + random.next() * MAX_JITTER_MS;
    await pause(delayMs, this._abortController.signal);
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

  /** Appends a record after all that are in the log, unless there is nothing to record. */
  private async _tryWrite(findRecord: RecordSource): Promise<void> {
    const { counters, log } = this._options;
    try {
      await this._write(findRecord);
    } catch (error) {
      counters.add('monsoonreach_shard_claims_failed_total');
      if (error instanceof AppendConditionError) return;
      if (!isExpected(error)) throw error;
      log.warn('owners of shards cannot be recorded', { error: error.message });
    }
  }

  private async _write(findRecord: RecordSource): Promise<void> {
    const { store, counters, exchange, log } = this._options;
    const { end, ownership: logged } = await this._readRecords();
    if (logged) this._apply(logged, 'store');
    const record = findRecord(logged ?? NO_OWNERS, end);
    if (this._abortController.signal.aborted) return;
    if (record) {
      const { era, offset } = await store.append(
        Topic.shards,
        encodeOwnershipRecord(record, end),
        end.offset,
      );
      if (era !== end.era) {
        // The store was restored after the read: another node may have been given the same term before.
        counters.add('monsoonreach_shard_claims_failed_total');
        log.warn('store restored while owners of shards were recorded', { era, before: end.era });
        return;
      }
      log.info('owners of shards recorded', { era, offset, owners: listOwners(record).map(({ id }) => id) });
      this._apply(record, 'own record');
      exchange.broadcast(createOwnershipMessage(this._ownership));
    }
    if (this._unrecordedEra !== undefined && end.era >= this._unrecordedEra) this._unrecordedEra = undefined;
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

/** Returns the owners to record after those in the log, which end at a position; undefined if there is nothing to record. */
type RecordSource = (logged: Ownership, end: StorePosition) => Ownership | undefined;

/** Whether a record may fail with this error and is written again later. */
function isExpected(error: unknown): error is StoreUnavailableError | HistoryGoneError | TermRangeError {
  return (
    error instanceof StoreUnavailableError ||
    error instanceof HistoryGoneError ||
    error instanceof TermRangeError
  );
}
