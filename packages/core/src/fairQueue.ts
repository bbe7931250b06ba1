/** One waiting item. */
export interface QueuedItem<Item> {
  readonly workspace: string;
  /** Share of the workspace against the others; positive. */
  readonly weight: number;
  /** Higher goes first inside its workspace. */
  readonly priority: number;
  readonly item: Item;
}

interface Lane<Item> {
  readonly waiting: QueuedItem<Item>[];
  /** Virtual time at which the lane's next item may start. */
  startsAt: number;
}

/** Options of a queue. */
export interface FairQueueOptions {
  /** The most items that wait for one workspace. */
  readonly maxPerWorkspace?: number;
}

const DEFAULT_MAX_PER_WORKSPACE = 64;

/**
 * Weighted fair queue by start time: each workspace advances by 1 / weight with each item it is given, and the
 * workspace that is furthest behind goes next. A workspace that was idle starts level with the others, so it
 * neither pays for its absence nor saves up for a burst.
 */
export class FairQueue<Item> {
  private readonly _lanes = new Map<string, Lane<Item>>();
  private readonly _maxPerWorkspace: number;
  private _virtualTime = 0;
  private _size = 0;

  constructor(options: FairQueueOptions = {}) {
    this._maxPerWorkspace = options.maxPerWorkspace ?? DEFAULT_MAX_PER_WORKSPACE;
  }

  get size(): number {
    return this._size;
  }

  sizeOf(workspace: string): number {
    return this._lanes.get(workspace)?.waiting.length ?? 0;
  }

  /** Workspaces that have items waiting. */
  workspaces(): readonly string[] {
    return [...this._lanes].filter(([, lane]) => lane.waiting.length > 0).map(([workspace]) => workspace);
  }

  /** Adds an item; false when its workspace's queue is full. */
  enqueue(queued: QueuedItem<Item>): boolean {
    const lane = this._laneOf(queued.workspace);
    if (lane.waiting.length >= this._maxPerWorkspace) return false;
    if (lane.waiting.length === 0) lane.startsAt = Math.max(lane.startsAt, this._virtualTime);
    const index = lane.waiting.findIndex((other) => other.priority < queued.priority);
    lane.waiting.splice(index === -1 ? lane.waiting.length : index, 0, queued);
    this._size++;
    return true;
  }

  /** Takes the next item of a workspace that `isEligible` lets pass. */
  dequeue(isEligible: (workspace: string) => boolean = () => true): Item | undefined {
    let next: { readonly workspace: string; readonly lane: Lane<Item> } | undefined;
    for (const [workspace, lane] of this._lanes) {
      if (lane.waiting.length === 0 || !isEligible(workspace)) continue;
      if (!next || lane.startsAt < next.lane.startsAt) next = { workspace, lane };
    }
    const queued = next?.lane.waiting.shift();
    if (!next || !queued) return undefined;
    this._size--;
    this._virtualTime = Math.max(this._virtualTime, next.lane.startsAt);
    next.lane.startsAt += 1 / queued.weight;
    this._forgetIdleLanes();
    return queued.item;
  }

  /** Removes an item whose caller does not wait any more. */
  remove(workspace: string, item: Item): boolean {
    const lane = this._lanes.get(workspace);
    const index = lane?.waiting.findIndex((queued) => queued.item === item) ?? -1;
    if (!lane || index === -1) return false;
    lane.waiting.splice(index, 1);
    this._size--;
    return true;
  }

  private _laneOf(workspace: string): Lane<Item> {
    let lane = this._lanes.get(workspace);
    if (!lane) {
      lane = { waiting: [], startsAt: this._virtualTime };
      this._lanes.set(workspace, lane);
    }
    return lane;
  }

  private _forgetIdleLanes(): void {
    for (const [workspace, lane] of this._lanes) {
      if (lane.waiting.length === 0 && lane.startsAt <= this._virtualTime) this._lanes.delete(workspace);
    }
  }
}
