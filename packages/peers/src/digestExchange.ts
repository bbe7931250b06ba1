import type { ConnectRouter } from '@connectrpc/connect';
import { BackgroundLoop, type Counters, EXCHANGE_INTERVAL_MS, type Membership } from '@monsoonreach/core';
import { fromDigestMessage, fromKnownMessages, toDigestMessage, toKnownMessages } from './convert.js';
import { DigestService } from './generated/monsoonreach/v1/peers_pb.js';
import type { PeerClients } from './peerClients.js';

const CALL_TIMEOUT_MS = 1_000;
/** Interval of the attempts to reach a first peer, in milliseconds. */
const JOIN_INTERVAL_MS = 200;
/** Members that urgent news is sent to at once; the others hear of it by exchange and from the log. */
const URGENT_FAN_OUT = 16;

/** What an exchange is made of. */
export interface DigestExchangeOptions {
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly counters: Counters;
  /** Brings the own digest up to date before it is sent. */
  readonly refresh: () => void;
  /** Called after digests of others were learned. */
  readonly onLearned: () => void;
}

/** Exchanges digests with one random peer in each interval, both ways. */
export class DigestExchange {
  private readonly _loop = new BackgroundLoop({
    turn: () => this._turn(),
    intervalMs: () => this._intervalMs(),
  });

  constructor(private readonly _options: DigestExchangeOptions) {}

  /** Offers the digest service. */
  register(router: ConnectRouter): void {
    const { membership, onLearned } = this._options;
    router.service(DigestService, {
      exchange: ({ digests, known, full }) => {
        membership.noteReached();
        membership.learn(digests.map(fromDigestMessage));
        onLearned();
        const news = full ? membership.newerThan(fromKnownMessages(known)) : membership.takeNews();
        return { digests: news.map(toDigestMessage) };
      },
    });
  }

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  /** Exchanges with one peer now. */
  async exchangeWith(peer: string): Promise<void> {
    const { membership, clients, counters, onLearned } = this._options;
    try {
      const full = membership.isFullExchangeDue();
      const request = {
        from: membership.own.node,
        digests: (full ? [membership.own] : membership.takeNews()).map(toDigestMessage),
        known: full ? toKnownMessages(membership.versions()) : [],
        full,
      };
      const response = await clients.digests(peer).exchange(request, { timeoutMs: CALL_TIMEOUT_MS });
      membership.noteReached();
      membership.learn(response.digests.map(fromDigestMessage));
      onLearned();
      counters.add('monsoonreach_digest_exchanges_total', { result: 'done' });
    } catch {
      membership.noteUnanswered(peer);
      counters.add('monsoonreach_digest_exchanges_total', { result: 'unreachable' });
    }
  }

  /** Tells up to `URGENT_FAN_OUT` members at once; for news that must not wait, such as a quarantine. */
  async tellUrgently(): Promise<void> {
    const { membership, refresh } = this._options;
    refresh();
    const told = membership.members().slice(0, URGENT_FAN_OUT);
    await Promise.all(told.map(({ node }) => this.exchangeWith(node)));
  }

  private async _turn(): Promise<void> {
    this._options.refresh();
    const peer = this._options.membership.choosePeer();
    if (peer !== undefined) await this.exchangeWith(peer);
  }

  private _intervalMs(): number {
    return this._options.membership.members().length === 0 ? JOIN_INTERVAL_MS : EXCHANGE_INTERVAL_MS;
  }
}
