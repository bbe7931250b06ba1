import type { Clock, KeyTrust } from '@monsoonreach/core';
import type { StoreHistory } from './storeHistory.js';

/** Time after a restore of the store in which the operator writes its configuration again, in milliseconds. */
const REWRITE_GRACE_MS = 2_300;

/** A configuration as a read of the store shows it. */
export interface ReadConfiguration {
  readonly version: number;
  /** Offset of its record; undefined if its source does not tell it. */
  readonly offset: number | undefined;
  /** Whether it was read as a change, so that it was written after what was read before. */
  readonly isChange: boolean;
}

/** Contact of a peer with the store; monotonic times of this node. */
export interface PeerContact {
  /** The version that the peer had in force. */
  readonly version: number;
  readonly atMs: number;
  /** When this node asked the peer. */
  readonly measuredFromMs: number;
}

/** Dependencies of {@link KeyConfirmation}. */
export interface KeyConfirmationOptions {
  readonly clock: Clock;
  readonly trust: KeyTrust;
  readonly history: StoreHistory;
}

/**
 * Decides which contact with the store proves that no key has ended. A store that was restored from an older copy may
 * have lost the configuration that ended one, until the operator has written its configuration again.
 */
export class KeyConfirmation {
  /** The latest configuration that was read, with its offset when it was last read. */
  private _latest: Pick<ReadConfiguration, 'version' | 'offset'> = { version: -Infinity, offset: undefined };
  /** The latest version that a peer has had, and the monotonic time at which this node heard of it. */
  private _latestOfPeers = { version: -Infinity, knownAtMs: -Infinity };

  constructor(private readonly _options: KeyConfirmationOptions) {
    const { clock, trust, history } = _options;
    history.onRestored(() => {
      trust.hold(clock.monotonic() + REWRITE_GRACE_MS);
    });
  }

  /** Records a configuration that was read from the store or through a peer. */
  recordRead({ version, offset, isChange }: ReadConfiguration): void {
    const { version: latestVersion, offset: latestOffset } = this._latest;
    // Later versions have higher offsets, unless they were written again. One at a higher offset may have survived.
    const isWrittenAgain =
      offset !== undefined &&
      latestOffset !== undefined &&
      version >= latestVersion &&
      offset <= latestOffset &&
      !(version === latestVersion && offset === latestOffset);
    if (isChange || isWrittenAgain) this._options.trust.release();
    if (version >= latestVersion) this._latest = { version, offset };
  }

  /** Records a peer's contact with the store while it had this version in force. */
  recordContact({ version, atMs, measuredFromMs }: PeerContact): void {
    this.recordPeer(version, this._options.clock.monotonic());
    if (version === this._latest.version) this.confirm(atMs, measuredFromMs);
  }

  /** Records the version that a peer has in force. */
  recordPeer(version: number, knownAtMs: number): void {
    if (version > this._latestOfPeers.version) this._latestOfPeers = { version, knownAtMs };
  }

  /**
   * Records that the store or a peer showed the latest configuration that was read as the newest one at this time.
   * @param measuredFromMs monotonic time at which this node asked.
   */
  confirm(atMs: number, measuredFromMs: number): void {
    const { trust } = this._options;
    const { version, knownAtMs } = this._latestOfPeers;
    if (this._latest.version >= version) trust.confirm(atMs, measuredFromMs);
    else if (atMs > knownAtMs) trust.revoke();
  }
}
