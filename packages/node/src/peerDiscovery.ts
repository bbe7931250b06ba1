import { type Member, pause, type Random, readBoundedBody } from '@monsoonreach/core';
import { createConnector, type StoreClient, StoreUnavailableError, Topic } from '@monsoonreach/platform';
import { Agent, request } from 'undici';
import * as z from 'zod/mini';
import { type DecisionLog, describeError } from './decisionLog.js';
import type { PeerExchange } from './peerExchange.js';
import { type MemberRow, memberRowSchema, toMember, toMemberRow } from './peerMessages.js';
import type { StoreHistory } from './storeHistory.js';

/** Timeout of a node's answer with the members that it knows, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;
/** Largest random delay at the first start, in milliseconds, so that few nodes register: the others find these. */
const MAX_FIRST_DELAY_MS = 400;
/** Pause between two attempts, in milliseconds. */
const RETRY_MS = 500;
/** Registered nodes that are asked at once. */
const MAX_ASKED_NODES = 6;
/** Largest list of members that is read, in bytes. */
export const MAX_MEMBERS_BYTES = 65_536;
/** Times after the first answer at which the members are asked for again, in milliseconds: others start later. */
const REPEATS_MS = [700, 2_500, 10_000] as const;

const membersSchema = z.array(memberRowSchema);

/** Path at which a node answers with the members that it knows. */
export const MEMBERS_PATH = '/members';

/** Dependencies of {@link PeerDiscovery}. */
export interface PeerDiscoveryOptions {
  readonly self: Member;
  readonly store: StoreClient;
  readonly history: StoreHistory;
  readonly exchange: PeerExchange;
  readonly random: Random;
  readonly log: DecisionLog;
  /** Whether all nodes start at the same time. */
  readonly isFirstStart: boolean;
}

/**
 * Finds the other nodes. The store names a few registered ones, which know the rest; a node that reaches none of them
 * registers itself. A restored store may have lost the entry, so that a registered node then registers again.
 */
export class PeerDiscovery {
  private readonly _dispatcher = new Agent({ pipelining: 1, connect: createConnector(ANSWER_TIMEOUT_MS) });
  /** Era of the store in which this node's entry was last acknowledged; undefined before the first time. */
  private _registeredEra: number | undefined;
  private _isToBeRegistered = false;
  private _isRegistering = false;

  constructor(private readonly _options: PeerDiscoveryOptions) {
    _options.history.onRestored(() => {
      if (this._isToBeRegistered) void this.register();
    });
  }

  /** Resolves when another node has answered. */
  async run(): Promise<void> {
    const { isFirstStart, random } = this._options;
    if (isFirstStart) await pause(random.next() * MAX_FIRST_DELAY_MS);
    for (;;) {
      const addresses = await this._readAddresses();
      if (addresses && (await this._askAny(addresses))) {
        void this._repeat(addresses);
        return;
      }
      if (addresses) void this.register();
      await pause(RETRY_MS * (0.5 + random.next()));
    }
  }

  /** Registers this node in the store, so that new ones find it; resolves when that is acknowledged. */
  async register(): Promise<void> {
    this._isToBeRegistered = true;
    if (this._isRegistering) return;
    this._isRegistering = true;
    while (!this._isRegistered) {
      await this._tryRegister();
      if (!this._isRegistered) await pause(RETRY_MS * (0.5 + this._options.random.next()));
    }
    this._isRegistering = false;
  }

  /** Whether the store has this node's entry, as far as this node knows; it may be restored before an answer arrives. */
  private get _isRegistered(): boolean {
    return this._registeredEra !== undefined && this._registeredEra >= (this._options.history.era ?? 0);
  }

  private async _tryRegister(): Promise<void> {
    const { store, self, log } = this._options;
    try {
      const { era } = await store.appendKeyed(Topic.nodes, self.node, self.address);
      this._registeredEra = era;
      log.info('node registered', { era });
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      log.warn('node cannot be registered', { error: describeError(error) });
    }
  }

  /** Returns the addresses of some registered nodes; undefined if the store cannot be read. */
  private async _readAddresses(): Promise<readonly string[] | undefined> {
    const { store, self, log, random } = this._options;
    try {
      const { records } = await store.readNewest(Topic.nodes);
      const addresses = records.flatMap(({ value }) => (value ? [Buffer.from(value).toString('utf8')] : []));
      const others = addresses.filter((address) => address !== self.address);
      while (others.length > MAX_ASKED_NODES) others.splice(random.below(others.length), 1);
      return others;
    } catch (error) {
      if (!(error instanceof StoreUnavailableError)) throw error;
      log.warn('registered nodes cannot be read; retrying', { error: describeError(error) });
      return undefined;
    }
  }

  private async _repeat(addresses: readonly string[]): Promise<void> {
    for (const delayMs of REPEATS_MS) {
      await pause(delayMs);
      await this._askAny(addresses);
    }
  }

  /** Asks all of these nodes; returns whether any has answered. */
  private async _askAny(addresses: readonly string[]): Promise<boolean> {
    const answers = await Promise.all(addresses.map((address) => this._ask(address)));
    return answers.some((isAnswered) => isAnswered);
  }

  private async _ask(address: string): Promise<boolean> {
    const { self, exchange, log } = this._options;
    try {
      const response = await request(`http://${address}${MEMBERS_PATH}`, {
        dispatcher: this._dispatcher,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify([toMemberRow(self)]),
        headersTimeout: 0,
        bodyTimeout: 0,
        signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
      });
      const body = await readBoundedBody(response.body, MAX_MEMBERS_BYTES);
      exchange.addMembers(decodeMembers(body.toString('utf8')));
      return true;
    } catch (error) {
      log.info('node does not tell its members', { address, error: describeError(error) });
      return false;
    }
  }
}

/** @throws Error when the text is not a list of members. */
export function decodeMembers(text: string): readonly Member[] {
  return z.parse(membersSchema, JSON.parse(text)).map(toMember);
}

export function encodeMembers(members: readonly Member[]): string {
  return JSON.stringify(members.map((member): MemberRow => toMemberRow(member)));
}
