/** An item with its workspace and priority. */
export interface QueuedItem<Item> {
  readonly workspace: string;
  /** Weight of the workspace relative to the others; positive. */
  readonly weight: number;
  /** Higher goes first within its workspace. */
  readonly priority: number;
  readonly item: Item;
}

interface Lane<Item> {
  readonly waiting: QueuedItem<Item>[];
  /** Virtual start time of the lane's next item. */
  startTag: number;
}

/** Options of a queue. */
export interface FairQueueOptions {
  /** Maximum number of waiting items per workspace. */
  readonly maxPerWorkspace?: number;
}

const DEFAULT_MAX_PER_WORKSPACE = 64;

/**
 * Start-time fair queue: each dequeued item advances its workspace's start tag by 1 / weight, and the
 * workspace with the lowest tag goes next. An idle workspace resumes at the current virtual time, so idling
 * neither costs it later service nor earns credit for a burst.
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
    if (lane.waiting.length === 0) lane.startTag = Math.max(lane.startTag, this._virtualTime);
    const index = lane.waiting.findIndex((other) => other.priority < queued.priority);
    lane.waiting.splice(index === -1 ? lane.waiting.length : index, 0, queued);
    this._size++;
    return true;
  }

  /** Removes and returns the next item among the workspaces that are eligible. */
  dequeue(isEligible: (workspace: string) => boolean = () => true): Item | undefined {
    let next: { readonly workspace: string; readonly lane: Lane<Item> } | undefined;
    for (const [workspace, lane] of this._lanes) {
      if (lane.waiting.length === 0 || !isEligible(workspace)) continue;
      if (!next || lane.startTag < next.lane.startTag) next = { workspace, lane };
    }
    const queued = next?.lane.waiting.shift();
    if (!next || !queued) return undefined;
    this._size--;
    this._virtualTime = Math.max(this._virtualTime, next.lane.startTag);
    next.lane.startTag += 1 / queued.weight;
    this._pruneIdleLanes();
    return queued.item;
  }

  /** Removes an item whose caller no longer waits; false when it is not queued. */
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
      lane = { waiting: [], startTag: this._virtualTime };
      this._lanes.set(workspace, lane);
    }
    return lane;
  }

  private _pruneIdleLanes(): void {
    for (const [workspace, lane] of this._lanes) {
      if (lane.waiting.length === 0 && lane.startTag <= this._virtualTime) this._lanes.delete(workspace);
    }
  }
}
