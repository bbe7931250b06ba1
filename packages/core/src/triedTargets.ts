/** The targets to which one request was sent. One that only broke off its answer may be well, and be used again. */
export class TriedTargets {
  private readonly _tried = new Set<string>();
  private readonly _brokenOff = new Set<string>();

  add(target: string): void {
    this._tried.add(target);
    this._brokenOff.delete(target);
  }

  /** Records that a target's connection broke after the request was sent. */
  recordBrokenOff(target: string): void {
    this._brokenOff.add(target);
  }

  /** Whether the last attempt at the target ended by its connection. */
  isBrokenOff(target: string): boolean {
    return this._brokenOff.has(target);
  }

  /** Whether any of the targets has broken off the request. */
  get hasBrokenOff(): boolean {
    return this._brokenOff.size > 0;
  }

  /** All targets to which the request was sent. */
  get tried(): ReadonlySet<string> {
    return this._tried;
  }

  /** Those among them that are of no use to another attempt. */
  get unusable(): ReadonlySet<string> {
    return new Set([...this._tried].filter((target) => !this._brokenOff.has(target)));
  }
}
