import { appendFileSync } from 'node:fs';

/** Appends what a stand-in did to a file of JSON lines, which the history checker reads. */
export class Journal {
  constructor(private readonly _path: string | undefined) {}

  write(entry: Readonly<Record<string, unknown>>): void {
    if (this._path === undefined) return;
    appendFileSync(this._path, `${JSON.stringify({ atMs: Date.now(), ...entry })}\n`);
  }
}
