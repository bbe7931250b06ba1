import { appendFileSync } from 'node:fs';

/** What a stand-in did, written as one JSON line each for the history check. */
export class Journal {
  constructor(private readonly _path: string | undefined) {}

  write(entry: Readonly<Record<string, unknown>>): void {
    if (this._path === undefined) return;
    appendFileSync(this._path, `${JSON.stringify({ atMs: Date.now(), ...entry })}\n`);
  }
}
