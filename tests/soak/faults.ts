import type { Random } from '@monsoonreach/core';
import { EVENT_INTERVAL_MS, type InstanceMode, type InstanceStandin } from '../platform/instanceStandin.js';
import type { StoreMode } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';
import type { Callers } from './callers.js';
import type { LinkState } from './faultProxy.js';
import type { SoakFleet, SoakNode } from './soakFleet.js';

/** Longest pause between the starts of two faults, in milliseconds; most faults last longer, so that they overlap. */
const MAX_PAUSE_MS = 2_500;
/** Shortest duration of a fault, and its spread, in milliseconds; the longest exceeds all timeouts of the nodes. */
const MIN_DURATION_MS = 500;
const DURATION_SPREAD_MS = 8_500;
/** Pause between two nodes when all are stopped in turn, in milliseconds. */
const ROLLING_STOP_INTERVAL_MS = 1_200;
/** Time for which the store is away before it comes back from a copy, in milliseconds. */
const RESTORE_MS = 1_000;
/** Kills while engines answer without a length. */
const UNFRAMED_KILLS = 2;
/** Time until a node that was killed for such a case starts again, in milliseconds. */
const RESTART_MS = 200;
/** Time for which a node is frozen that is then cut off, and for which its store and peers stay silent after that. */
const FREEZE_MS = 3_600;
const CUT_MS = 5_000;
/** Time from the freeze to the cut, in milliseconds: two rounds of digests. */
const CUT_DELAY_MS = 400;
/** Number of waves of silent engines in one fault, and its spread. */
const MIN_WAVES = 2;
const WAVES_SPREAD = 4;
/** Share of the engines that are silent in a wave, and its spread. */
const MIN_SILENT_SHARE = 0.2;
const SILENT_SHARE_SPREAD = 0.2;
/** Duration of a wave, the pause after it, and their spreads, in milliseconds; entries in the store outlive a wave. */
const MIN_WAVE_MS = 800;
const WAVE_SPREAD_MS = 1_000;
/** Longest silence of an engine that is sound, in milliseconds. */
const MAX_SOUND_SILENCE_MS = 1_200;
const MIN_WAVE_PAUSE_MS = 300;
const WAVE_PAUSE_SPREAD_MS = 1_200;

/** Members that leave unlisted in one fault, its spread, and the longest pause between two of them, in milliseconds. */
const MIN_LEAVES = 2;
const LEAVES_SPREAD = 4;
const MAX_LEAVE_PAUSE_MS = 1_000;
/** Engines that leave at the same time at most. */
const MAX_LEAVING = 5;
/** Time for which an engine serves on without an entry, in milliseconds; longer while its head has requests. */
const LEAVE_MS = 3_500;
/** Streams of a group that the callers' load exceeds. */
const FULL_SLOTS = 1;
/** Time between two events meanwhile, in milliseconds; most heads then have requests at all times. */
const BUSY_EVENT_INTERVAL_MS = 40;

/** Resets in one fault, and its spread. */
const MIN_RESETS = 2;
const RESETS_SPREAD = 3;
/** Pause before a reset, and its spread, in milliseconds; more resets would need more retries than the nodes may send. */
const MIN_RESET_PAUSE_MS = 1_000;
const RESET_PAUSE_SPREAD_MS = 1_500;

/** A fault in the timeline. */
export interface FaultEvent {
  readonly atMs: number;
  readonly name: FaultName;
  readonly where: string;
  readonly forMs: number;
}

/** Engines that are silent for every node at the same time. */
interface SilentWave {
  readonly ids: readonly string[];
  readonly forMs: number;
  readonly pauseMs: number;
}

/** A reset of each connection, or of every second one, to all targets, and to the store from some nodes. */
interface ConnectionReset {
  readonly every: number;
  readonly nodes: readonly SoakNode[];
  readonly pauseMs: number;
}

/** The faults that a soak injects. */
export const FAULT_NAMES = [
  'kill',
  'stop',
  'stop all in turn',
  'kill all',
  'pause',
  'reload',
  'clock step',
  'store link silent',
  'store link one way',
  'store link delayed',
  'store link reset',
  'store busy',
  'store silent',
  'store slow',
  'store loses answers',
  'history gone',
  'store restored',
  'member crashes',
  'head crashes',
  'engine cut from store',
  'engine link silent',
  'engine link reset',
  'engines silent in waves',
  'short silences beside stops and changes',
  'late orders',
  'engines have no length beside kills',
  'plain target resets',
  'plain target full',
  'plain target truncates',
  'plain target has no length',
  'plain target resets an answer without length',
  'wrong echo',
  'target leaves',
  'configuration',
  'key taken away',
  'key taken away beside a freeze and a cut',
  'members leave unlisted beside stops',
  'connections reset beside stops',
] as const;
export type FaultName = (typeof FAULT_NAMES)[number];

/** What operators do on a sound fleet; it must cut nothing. */
const PLANNED_WORK: ReadonlySet<FaultName> = new Set([
  'stop',
  'stop all in turn',
  'reload',
  'target leaves',
  'configuration',
  'key taken away',
  'members leave unlisted beside stops',
]);

/** During which all targets serve on. */
const TARGETS_SERVE: ReadonlySet<FaultName> = new Set([
  'stop',
  'stop all in turn',
  'reload',
  'configuration',
  'key taken away',
  'connections reset beside stops',
]);

/** Injects faults that a seeded random generator draws; they may overlap. */
export class FaultInjector {
  readonly timeline: FaultEvent[] = [];
  readonly keysRevokedAtMs = new Map<string, number>();
  readonly leavingSinceMs = new Map<string, number>();
  /** Engines that left in planned work and exited while the head of their group had requests. */
  readonly prematureExits: string[] = [];
  private readonly _running = new Set<Promise<void>>();
  private _keys: readonly string[] = ['key-1'];
  private _replacements = 0;
  private _isRestoring = false;
  private _isSilencing = false;
  private _isStoppingInTurn = false;
  private _isResetting = false;
  /** Number of such faults that run now. */
  private _unlistedLeaves = 0;
  /** Store faults in progress, the latest last. */
  private readonly _storeModes: { readonly mode: StoreMode }[] = [];

  constructor(
    private readonly _fleet: SoakFleet,
    private readonly _callers: Callers,
    private readonly _random: Random,
    private readonly _startedAtMs: number,
    private readonly _allowed: readonly FaultName[] = FAULT_NAMES,
  ) {}

  /** Injects faults for `forMs` milliseconds, then waits until all have ended. */
  async run(forMs: number): Promise<void> {
    const endsAtMs = Date.now() + forMs;
    while (Date.now() < endsAtMs) {
      const name = this._allowed[this._random.below(this._allowed.length)];
      const durationMs = MIN_DURATION_MS + this._random.next() * DURATION_SPREAD_MS;
      if (name) this._start(name, durationMs);
      await sleep(this._random.next() * MAX_PAUSE_MS);
    }
    await Promise.all(this._running);
  }

  private _start(name: FaultName, forMs: number): void {
    if (!PLANNED_WORK.has(name)) this._fleet.isPlannedWorkOnly = false;
    if (!TARGETS_SERVE.has(name)) this._fleet.areTargetsSound = false;
    const fault = this._inject(name, forMs);
    this._running.add(fault);
    void fault.finally(() => this._running.delete(fault));
  }

  private _inject(name: FaultName, forMs: number): Promise<void> {
    switch (name) {
      case 'kill':
      case 'stop':
      case 'pause':
      case 'reload':
      case 'clock step':
        return this._injectNodeFault(name, forMs);
      case 'stop all in turn':
      case 'kill all':
        return this._injectFaultOnAllNodes(name, forMs);
      case 'store link silent':
        return this._injectStoreLinkFault(name, { kind: 'silent' }, forMs);
      case 'store link one way':
        return this._injectStoreLinkFault(name, { kind: 'one-way', pausedDirection: 'answers' }, forMs);
      case 'store link delayed':
        return this._injectStoreLinkFault(name, { kind: 'delayed', delayMs: 300 }, forMs);
      case 'store link reset':
        return this._injectStoreLinkFault(name, 'reset', forMs);
      case 'store busy':
        return this._injectStoreFault(name, 'busy', forMs);
      case 'store silent':
        return this._injectStoreFault(name, 'silent', forMs);
      case 'store slow':
        return this._injectStoreFault(name, 'slow', forMs);
      case 'store loses answers':
        return this._injectStoreFault(name, 'loses-answers', forMs);
      case 'history gone':
        this._record(name, 'store', 0);
        this._fleet.store.compact('keyed.op');
        this._fleet.store.compact('keyed.servers');
        return Promise.resolve();
      case 'store restored':
        return this._restoreStore(name, forMs);
      case 'member crashes':
      case 'head crashes':
      case 'engine cut from store':
      case 'engine link silent':
      case 'engine link reset':
        return this._injectEngineFault(name, forMs);
      case 'engines silent in waves':
        return this._injectSilentWaves(name);
      case 'short silences beside stops and changes':
        return this._injectShortSilences(name);
      case 'late orders':
        return this._injectInstanceFault(name, 'engines', 'late-orders', forMs);
      case 'engines have no length beside kills':
        return this._injectUnframedStreams(name, forMs);
      case 'plain target resets':
        return this._injectInstanceFault(name, 'plain', 'resets', forMs);
      case 'plain target full':
        return this._injectInstanceFault(name, 'plain', 'full', forMs);
      case 'plain target truncates':
        return this._injectInstanceFault(name, 'plain', 'truncates', forMs);
      case 'plain target has no length':
        return this._injectInstanceFault(name, 'plain', 'unframed', forMs);
      case 'plain target resets an answer without length':
        return this._injectInstanceFault(name, 'plain', 'resets-unframed', forMs);
      case 'wrong echo':
        return this._injectInstanceFault(name, 'plain', 'wrong-echo', forMs);
      case 'target leaves':
        return this._replacePlainTarget(name);
      case 'configuration':
        this._record(name, 'operator', 0);
        this._fleet.publish(this._keys);
        return Promise.resolve();
      case 'key taken away':
        return this._replaceKey(name);
      case 'key taken away beside a freeze and a cut':
        return this._replaceKeyOfCutNode(name);
      case 'members leave unlisted beside stops':
        return this._injectUnlistedLeaves(name, forMs);
      case 'connections reset beside stops':
        return this._resetConnectionsInSeries(name);
    }
  }

  private async _injectNodeFault(
    name: Extract<FaultName, 'kill' | 'stop' | 'pause' | 'reload' | 'clock step'>,
    forMs: number,
  ): Promise<void> {
    const node = this._pick(this._fleet.nodes);
    if (!node) return;
    this._record(name, node.name, forMs);
    // Requests that a planned stop or a reload cuts are violations, so the node does not count as faulty.
    if (name !== 'stop' && name !== 'reload') harm(node, forMs);
    switch (name) {
      case 'kill':
        await this._fleet.restartNode(node, 'SIGKILL', forMs / 3);
        break;
      case 'stop':
        await this._fleet.restartNode(node, 'SIGTERM', forMs / 3);
        return;
      case 'pause':
        node.child?.kill('SIGSTOP');
        await sleep(forMs);
        node.child?.kill('SIGCONT');
        break;
      case 'reload':
        node.child?.kill('SIGHUP');
        return;
      case 'clock step':
        node.child?.kill('SIGUSR2');
        await sleep(forMs);
        node.child?.kill('SIGUSR2');
    }
    harm(node, 0);
  }

  private async _injectFaultOnAllNodes(name: 'stop all in turn' | 'kill all', forMs: number): Promise<void> {
    this._record(name, 'all nodes', forMs);
    if (name === 'kill all') {
      for (const node of this._fleet.nodes) harm(node, forMs);
      await Promise.all(this._fleet.nodes.map((node) => this._fleet.restartNode(node, 'SIGKILL', forMs / 3)));
      for (const node of this._fleet.nodes) harm(node, 0);
      return;
    }
    for (const node of this._fleet.nodes) {
      void this._fleet.restartNode(node, 'SIGTERM', 0);
      await sleep(ROLLING_STOP_INTERVAL_MS);
    }
  }

  private async _injectStoreLinkFault(
    name: FaultName,
    state: LinkState | 'reset',
    forMs: number,
  ): Promise<void> {
    const node = this._pick(this._fleet.nodes);
    if (!node) return;
    this._record(name, node.name, forMs);
    harm(node, forMs);
    if (state === 'reset') {
      node.storeLink.resetConnections();
      return;
    }
    node.storeLink.setState(state);
    await sleep(forMs);
    node.storeLink.setState({ kind: 'passes' });
    harm(node, 0);
  }

  private async _injectStoreFault(name: FaultName, mode: StoreMode, forMs: number): Promise<void> {
    this._record(name, 'store', forMs);
    this._fleet.harm(forMs);
    const fault = { mode };
    this._storeModes.push(fault);
    this._fleet.store.mode = mode;
    await sleep(forMs);
    this._storeModes.splice(this._storeModes.indexOf(fault), 1);
    // The end of one fault does not end the others: a key counts as ended only after an outage of several seconds.
    this._fleet.store.mode = this._storeModes.at(-1)?.mode ?? 'well';
  }

  /** Lets the store come back from a copy that is `copyAgeMs` old. */
  private async _restoreStore(name: FaultName, copyAgeMs: number): Promise<void> {
    if (this._isRestoring) return;
    this._isRestoring = true;
    const copy = this._fleet.store.copy();
    await sleep(copyAgeMs);
    this._record(name, `store, ${Math.round(copyAgeMs)} ms back`, RESTORE_MS);
    this._fleet.harm(RESTORE_MS);
    this._fleet.store.mode = 'silent';
    await sleep(RESTORE_MS);
    await this._fleet.restoreStore(copy, () => this._keys);
    this._isRestoring = false;
  }

  private async _injectEngineFault(
    name: Extract<FaultName, 'member crashes' | 'head crashes' | `engine ${string}`>,
    forMs: number,
  ): Promise<void> {
    const isHead = (engine: InstanceStandin) => engine.group?.rank === 0 && engine.group.state === 'open';
    const engines = this._instancesOf('engine').filter(
      (engine) => engine.mode === 'well' && !engine.isDisconnectedFromStore && !engine.isLeaving,
    );
    const engine = this._pick(
      name === 'head crashes' ? engines.filter(isHead) : engines.filter(({ group }) => group !== undefined),
    );
    if (!engine) return;
    this._record(name, engine.id, forMs);
    this._fleet.harm(forMs);
    const link = this._fleet.instanceLinks.get(engine.id);
    switch (name) {
      case 'member crashes':
      case 'head crashes':
        await engine.crashAndRestart(forMs);
        return;
      case 'engine cut from store':
        await engine.disconnectFromStore(forMs);
        return;
      case 'engine link silent':
        await link?.silence(forMs);
        return;
      case 'engine link reset':
        link?.resetConnections();
        return;
    }
  }

  /** Lets engines fall silent and go on, a few times; they keep their groups and their entries in the store. */
  private async _injectSilentWaves(name: FaultName): Promise<void> {
    for (const { ids, forMs, pauseMs } of this._drawSilentWaves()) {
      this._record(name, ids.join(' '), forMs);
      this._fleet.harm(forMs);
      await Promise.all(ids.map((id) => this._fleet.instanceLinks.get(id)?.silence(forMs)));
      await sleep(pauseMs);
    }
  }

  /**
   * Stops all nodes in turn and publishes configurations while engines fall silent and go on. No node or target counts as
   * harmed: a sound target may be silent for a second. Two series at once would make longer silences.
   */
  private async _injectShortSilences(name: FaultName): Promise<void> {
    if (this._isSilencing) return;
    this._isSilencing = true;
    const waves = this._drawSilentWaves().map((wave) => ({
      ...wave,
      forMs: Math.min(wave.forMs, MAX_SOUND_SILENCE_MS),
    }));
    const stops = this._injectFaultOnAllNodes('stop all in turn', 0);
    for (const { ids, forMs, pauseMs } of waves) {
      this._record(name, ids.join(' '), forMs);
      const silences = ids.map((id) => this._fleet.instanceLinks.get(id)?.silence(forMs));
      await sleep(forMs / 2);
      this._fleet.publish(this._keys);
      await Promise.all(silences);
      await sleep(pauseMs);
    }
    await stops;
    this._isSilencing = false;
  }

  /** Draws all waves at once, so that they depend on the seed alone. Half of them strike the same engines again. */
  private _drawSilentWaves(): readonly SilentWave[] {
    const waves: SilentWave[] = [];
    const count = MIN_WAVES + this._random.below(WAVES_SPREAD);
    while (waves.length < count) {
      const drawn = this._instancesOf('engine')
        .map(({ id }) => ({ id, order: this._random.next() }))
        .sort((a, b) => a.order - b.order)
        .map(({ id }) => id);
      const share = MIN_SILENT_SHARE + this._random.next() * SILENT_SHARE_SPREAD;
      const previous = this._random.below(2) === 0 ? waves.at(-1) : undefined;
      waves.push({
        ids: previous?.ids ?? drawn.slice(0, Math.round(drawn.length * share)),
        forMs: MIN_WAVE_MS + this._random.next() * WAVE_SPREAD_MS,
        pauseMs: MIN_WAVE_PAUSE_MS + this._random.next() * WAVE_PAUSE_SPREAD_MS,
      });
    }
    return waves;
  }

  /** Lets half of the engines answer without a length, and kills nodes meanwhile. */
  private async _injectUnframedStreams(name: FaultName, forMs: number): Promise<void> {
    const engines = this._instancesOf('engine').filter(({ mode }) => mode === 'well');
    const chosen = engines.filter(() => this._random.below(2) === 0);
    this._record(name, chosen.map(({ id }) => id).join(' '), forMs);
    this._fleet.harm(forMs);
    for (const engine of chosen) engine.mode = 'unframed';
    for (let kill = 0; kill < UNFRAMED_KILLS; kill++) {
      await sleep(forMs / (UNFRAMED_KILLS + 1));
      await this._injectNodeFault('kill', RESTART_MS * 3);
    }
    await sleep(forMs / (UNFRAMED_KILLS + 1));
    for (const engine of chosen) if (engine.mode === 'unframed') engine.mode = 'well';
  }

  private async _injectInstanceFault(
    name: FaultName,
    service: 'engines' | 'plain',
    mode: InstanceMode,
    forMs: number,
  ): Promise<void> {
    const prefix = service === 'engines' ? 'engine' : 'plain';
    const target = this._pick(this._instancesOf(prefix).filter((one) => one.mode === 'well'));
    if (!target) return;
    this._record(name, target.id, forMs);
    this._fleet.harm(forMs);
    target.mode = mode;
    await sleep(forMs);
    if (target.mode === mode) target.mode = 'well';
  }

  /** Adds a plain target, then lets another one announce that it leaves; it serves for 4 s more. */
  private async _replacePlainTarget(name: FaultName): Promise<void> {
    const staying = this._instancesOf('plain').filter(({ id }) => !this.leavingSinceMs.has(id));
    const target = this._pick(staying);
    if (!target || staying.length < 2) return;
    this._record(name, target.id, 0);
    await this._fleet.addInstance(`plain-new-${++this._replacements}`, 'plain', 'fabric-0');
    await sleep(500);
    target.startDraining();
    this.leavingSinceMs.set(target.id, Date.now());
    await sleep(4_000);
    this._fleet.store.put('keyed.servers', target.id, undefined);
  }

  /** Lets engines of serving groups leave without an entry that says so while nodes stop in turn and half of the groups are full. */
  private async _injectUnlistedLeaves(name: FaultName, forMs: number): Promise<void> {
    const full = this._instancesOf('engine').filter(() => this._random.below(2) === 0);
    this._record(name, `full: ${full.map(({ id }) => id).join(' ')}`, forMs);
    const { instances } = this._fleet;
    this._unlistedLeaves++;
    instances.pauseBefore = () => BUSY_EVENT_INTERVAL_MS;
    for (const engine of full) engine.slots = FULL_SLOTS;
    const ended = [sleep(forMs), this._stopAllInTurnOnce()];
    for (let left = MIN_LEAVES + this._random.below(LEAVES_SPREAD); left > 0; left--) {
      ended.push(this._replaceEngine(name));
      await sleep(this._random.next() * MAX_LEAVE_PAUSE_MS);
    }
    await Promise.all(ended);
    for (const engine of full) engine.slots = Infinity;
    if (--this._unlistedLeaves === 0) instances.pauseBefore = () => EVENT_INTERVAL_MS;
  }

  /** Resets connections again and again while all nodes stop in turn; the targets and the store serve on. */
  private async _resetConnectionsInSeries(name: FaultName): Promise<void> {
    if (this._isResetting) return;
    this._isResetting = true;
    const resets = this._drawResets();
    const stops = this._stopAllInTurnOnce();
    for (const { every, nodes, pauseMs } of resets) {
      await sleep(pauseMs);
      this._record(
        name,
        `1 of ${every} to targets; to the store: ${nodes.map((node) => node.name).join(' ')}`,
        0,
      );
      this._fleet.harm(0);
      this._fleet.resetsAtMs.push(Date.now());
      const links = [...this._fleet.instanceLinks.values(), ...nodes.map(({ storeLink }) => storeLink)];
      for (const link of links) link.resetConnections(every);
    }
    await stops;
    this._isResetting = false;
  }

  /** Draws all resets at once, so that they depend on the seed alone. */
  private _drawResets(): readonly ConnectionReset[] {
    const count = MIN_RESETS + this._random.below(RESETS_SPREAD);
    return Array.from({ length: count }, () => ({
      every: 1 + this._random.below(2),
      nodes: this._fleet.nodes.filter(() => this._random.below(2) === 0),
      pauseMs: MIN_RESET_PAUSE_MS + this._random.next() * RESET_PAUSE_SPREAD_MS,
    }));
  }

  /** Stops all nodes in turn unless such a series runs already, which would leave no node in rotation. */
  private async _stopAllInTurnOnce(): Promise<void> {
    if (this._isStoppingInTurn) return;
    this._isStoppingInTurn = true;
    await this._injectFaultOnAllNodes('stop all in turn', 0);
    this._isStoppingInTurn = false;
  }

  /** Adds an engine, then lets one of a serving group leave unlisted. */
  private async _replaceEngine(name: FaultName): Promise<void> {
    const engines = this._instancesOf('engine');
    const isServing = ({ group }: InstanceStandin) => {
      const head = this._fleet.instances.instances.get(group?.members[0] ?? '');
      return head?.group?.name === group?.name && head?.group?.state === 'open';
    };
    const engine = this._pick(
      engines.filter((one) => one.mode === 'well' && !one.isLeaving && isServing(one)),
    );
    if (!engine || engines.filter(({ isLeaving }) => isLeaving).length >= MAX_LEAVING) return;
    this._record(name, engine.id, LEAVE_MS);
    await this._fleet.addInstance(`engine-new-${++this._replacements}`, 'engines', engine.fabricDomain);
    const isHeadBusy = await engine.leaveUnlisted(LEAVE_MS);
    if (isHeadBusy && this._fleet.isPlannedWorkOnly) this.prematureExits.push(engine.id);
    this._fleet.instanceLinks.get(engine.id)?.close();
  }

  /** Takes a key away while one node hears nothing: it is frozen, and its store and peers are silent when it goes on. */
  private async _replaceKeyOfCutNode(name: FaultName): Promise<void> {
    const node = this._pick(this._fleet.nodes);
    if (!node) return;
    const others = this._fleet.nodes.filter((other) => other !== node);
    await this._replaceKey(name, async () => {
      for (const each of this._fleet.nodes) harm(each, FREEZE_MS + CUT_MS);
      node.child?.kill('SIGSTOP');
      await sleep(CUT_DELAY_MS);
      node.storeLink.setState({ kind: 'silent' });
      for (const { child } of others) child?.kill('SIGSTOP');
    });
    await sleep(FREEZE_MS);
    node.child?.kill('SIGCONT');
    await sleep(CUT_MS);
    node.storeLink.setState({ kind: 'passes' });
    for (const { child } of others) child?.kill('SIGCONT');
  }

  /** @param beforeRevocation called when the nodes have the next key. */
  private async _replaceKey(
    name: FaultName,
    beforeRevocation: () => Promise<void> = () => Promise.resolve(),
  ): Promise<void> {
    const [previous = ''] = this._keys;
    const next = `key-${this._fleet.version + 1}`;
    this._record(name, previous, 0);
    this._keys = [previous, next];
    this._fleet.publish(this._keys);
    await sleep(1_500);
    if (this._keys[0] !== previous) return;
    await beforeRevocation();
    if (this._keys[0] !== previous) return;
    this._keys = [next];
    this._fleet.publish(this._keys);
    this.keysRevokedAtMs.set(previous, Date.now());
    // The callers keep using the revoked key for a while, to show that it is refused.
    setTimeout(() => {
      if (this._callers.key === previous) this._callers.key = next;
    }, 7_000);
  }

  private _instancesOf(prefix: 'engine' | 'plain'): readonly InstanceStandin[] {
    return [...this._fleet.instances.instances.values()].filter(
      ({ id, hasExited }) => id.startsWith(prefix) && !hasExited,
    );
  }

  private _pick<Item>(items: readonly Item[]): Item | undefined {
    return items.length === 0 ? undefined : items[this._random.below(items.length)];
  }

  private _record(name: FaultName, where: string, forMs: number): void {
    this.timeline.push({ atMs: Date.now() - this._startedAtMs, name, where, forMs: Math.round(forMs) });
  }
}

function harm(node: SoakNode, forMs: number): void {
  node.harmedUntilMs = Math.max(node.harmedUntilMs, Date.now() + forMs);
}
