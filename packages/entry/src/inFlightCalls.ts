import { TargetCallError } from '@monsoonreach/targets';

/** Tracks the calls in flight at each group, so that they can be aborted when the group breaks. */
export class InFlightCalls {
  private readonly _calls = new Map<string, Set<AbortController>>();

  add(group: string, controller: AbortController): void {
    const calls = this._calls.get(group) ?? new Set();
    calls.add(controller);
    this._calls.set(group, calls);
  }

  remove(group: string, controller: AbortController): void {
    const calls = this._calls.get(group);
    calls?.delete(controller);
    if (calls?.size === 0) this._calls.delete(group);
  }

  /** Aborts every call at a broken group with a `TargetCallError`. */
  abortGroup(group: string): void {
    for (const controller of this._calls.get(group) ?? []) controller.abort(new GroupBrokenError(group));
  }
}

class GroupBrokenError extends TargetCallError {
  constructor(group: string) {
    super('group-broken', false, `Group ${group} is not whole any more.`);
  }
}
