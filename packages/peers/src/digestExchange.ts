import type { ConnectRouter } from '@connectrpc/connect';
import { BackgroundLoop, type Counters, EXCHANGE_INTERVAL_MS, type Membership } from '@monsoonreach/core';
import { fromDigestMessage, fromKnownMessages, toDigestMessage, toKnownMessages } from './convert.js';
import { DigestService } from './generated/monsoonreach/v1/peers_pb.js';
import type { PeerClients } from './peerClients.js';

const CALL_TIMEOUT_MS = 1_000;
/** Exchange interval while no other member is known, in milliseconds. */
const JOIN_INTERVAL_MS = 200;
/** Members contacted at once with urgent changes; the others learn them by regular exchanges and from the log. */
const URGENT_FAN_OUT = 16;

/** Dependencies of a digest exchange. */
export interface DigestExchangeOptions {
  readonly membership: Membership;
  readonly clients: PeerClients;
  readonly counters: Counters;
  /** Updates this node's own digest; called before each exchange. */
  readonly refresh: () => void;
  /** Called after the digests received in an exchange have been merged into the membership. */
  readonly onLearned: () => void;
}

/** Gossip: exchanges digests in both directions with one random peer per interval. */
export class DigestExchange {
  private readonly _loop = new BackgroundLoop({
    runOnce: () => this._exchangeOnce(),
    intervalMs: () => this._intervalMs(),
  });

  constructor(private readonly _options: DigestExchangeOptions) {}

  /** Registers the digest service. */
  register(router: ConnectRouter): void {
    const { membership, onLearned } = this._options;
    router.service(DigestService, {
      exchange: ({ digests, known, full }) => {
        membership.recordContact();
        membership.merge(digests.map(fromDigestMessage));
        onLearned();
        const updates = full ? membership.newerThan(fromKnownMessages(known)) : membership.takeUpdates();
        return { digests: updates.map(toDigestMessage) };
      },
    });
  }

  start(): void {
    this._loop.start();
  }

  stop(): Promise<void> {
    return this._loop.stop();
  }

  /** Exchanges digests with one peer; a failed call is reported to the membership and does not throw. */
  async exchangeWith(peer: string): Promise<void> {
    const { membership, clients, counters, onLearned } = this._options;
    try {
      const full = membership.isFullExchangeDue();
      const request = {
        from: membership.own.node,
        digests: (full ? [membership.own] : membership.takeUpdates()).map(toDigestMessage),
        known: full ? toKnownMessages(membership.versions()) : [],
        full,
      };
      const response = await clients.getDigestClient(peer).exchange(request, { timeoutMs: CALL_TIMEOUT_MS });
      membership.recordContact();
      membership.merge(response.digests.map(fromDigestMessage));
      onLearned();
      counters.add('monsoonreach_digest_exchanges_total', { result: 'done' });
    } catch {
      membership.markSilent(peer);
      counters.add('monsoonreach_digest_exchanges_total', { result: 'unreachable' });
    }
  }

  /** Exchanges with up to `URGENT_FAN_OUT` members at once, for urgent changes such as a quarantine. */
  async exchangeUrgently(): Promise<void> {
    const { membership, refresh } = this._options;
    refresh();
    const peers = membership.members().slice(0, URGENT_FAN_OUT);
    await Promise.all(peers.map(({ node }) => this.exchangeWith(node)));
  }

  private async _exchangeOnce(): Promise<void> {
    this._options.refresh();
    const peer = this._options.membership.choosePeer();
    if (peer !== undefined) await this.exchangeWith(peer);
  }

  private _intervalMs(): number {
    return this._options.membership.members().length === 0 ? JOIN_INTERVAL_MS : EXCHANGE_INTERVAL_MS;
  }
}
