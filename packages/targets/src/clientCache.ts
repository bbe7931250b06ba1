import { TargetClient } from './targetClient.js';

/** Caches one client per target address. */
export class TargetClients {
  private readonly _clients = new Map<string, TargetClient>();

  get(address: string): TargetClient {
    let client = this._clients.get(address);
    if (!client) {
      client = new TargetClient(address);
      this._clients.set(address, client);
    }
    return client;
  }

  /** Closes the clients of all addresses that are not in the given set. */
  async retain(addresses: ReadonlySet<string>): Promise<void> {
    const removed = [...this._clients].filter(([address]) => !addresses.has(address));
    for (const [address] of removed) this._clients.delete(address);
    await Promise.all(removed.map(([, client]) => client.close()));
  }

  async close(): Promise<void> {
    await this.retain(new Set());
  }
}
