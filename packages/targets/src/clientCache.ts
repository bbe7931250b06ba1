import { TargetClient } from './targetClient.js';

/** Keeps one client for each target address. */
export class TargetClients {
  private readonly _clients = new Map<string, TargetClient>();

  of(address: string): TargetClient {
    let client = this._clients.get(address);
    if (!client) {
      client = new TargetClient(address);
      this._clients.set(address, client);
    }
    return client;
  }

  /** Closes the clients of targets that are not in use any more. */
  async retain(addresses: ReadonlySet<string>): Promise<void> {
    const gone = [...this._clients].filter(([address]) => !addresses.has(address));
    for (const [address] of gone) this._clients.delete(address);
    await Promise.all(gone.map(([, client]) => client.close()));
  }

  async close(): Promise<void> {
    await this.retain(new Set());
  }
}
