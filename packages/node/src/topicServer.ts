import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { type Counters, type Member, splitAddress } from '@monsoonreach/core';
import { HistoryGoneError } from '@monsoonreach/platform';
import { decodeMembers, encodeMembers, MAX_MEMBERS_BYTES, MEMBERS_PATH } from './peerDiscovery.js';
import { encodeSlice, encodeSliceEra, encodeSliceHeaders } from './topicMessages.js';
import type { MirrorState, TopicMirror, TopicSlice } from './topicMirror.js';

/** Maximum wait that a peer may request, in milliseconds. */
const MAX_WAIT_MS = 5_000;
/** Largest answer to a peer that can read the store itself, in bytes; a node's link is narrow, and many peers read. */
const MAX_ANSWER_BYTES = 131_072;
/** Encoded answers that are kept, as many peers read the same changes. */
const KEPT_ANSWERS = 8;

/** Status when the answer would be too large and the peer should read the store instead. */
export const TOO_LARGE_STATUS = 413;
/** Status when this node itself reads through a peer; two nodes that read through each other would get no changes. */
export const SECOND_HAND_STATUS = 409;
/** Status when the store has not answered this node lately, so that its peers read elsewhere. */
export const OUTDATED_STATUS = 503;
/** Status when the requested offset is older than the changes that are kept, or of another era of the store. */
export const GONE_STATUS = 410;

/** Dependencies of {@link TopicServer}. */
export interface TopicServerOptions {
  readonly address: string;
  readonly mirrors: ReadonlyMap<string, TopicMirror>;
  readonly counters: Counters;
  /** This node and the nodes that it knows. */
  readonly members: () => readonly Member[];
  readonly onMembers: (members: readonly Member[]) => void;
}

interface Answer {
  readonly status: number;
  /** Compressed. */
  readonly body: Buffer;
  readonly headers?: Readonly<Record<string, string>>;
}

/** HTTP server from which peers read the store's topics as this node has them, and the nodes that it knows. */
export class TopicServer {
  /** Answers by topic and range, the latest last. */
  private readonly _answers = new Map<string, Buffer>();

  constructor(private readonly _options: TopicServerOptions) {}

  start(): Promise<void> {
    const { address } = this._options;
    const { host, port } = splitAddress(address);
    const server = createServer((request, response) => {
      void this._handleRequest(request, response);
    });
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port }, resolve);
    });
  }

  private async _handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [path = '', query = ''] = (request.url ?? '').split('?', 2);
    if (path === MEMBERS_PATH) {
      await this._handleMembers(request, response);
      return;
    }
    const topic = /^\/topics\/(.+)$/.exec(path)?.[1];
    const mirror = topic === undefined ? undefined : this._options.mirrors.get(topic);
    const { status, body, headers } = mirror
      ? await this._read(mirror, topic ?? '', new URLSearchParams(query))
      : { status: 404, body: NO_BODY };
    this._options.counters.add('monsoonreach_topic_answers_total', { status: String(status) });
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': body.length,
      ...headers,
    });
    response.end(body);
  }

  private async _handleMembers(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { members, onMembers, counters } = this._options;
    try {
      onMembers(decodeMembers(await readBody(request)));
    } catch {
      // The sender is told, and asks again or elsewhere.
      counters.add('monsoonreach_members_refused_total');
      response.writeHead(400).end();
      return;
    }
    const text = encodeMembers(members());
    response.writeHead(200, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  private async _read(mirror: TopicMirror, topic: string, query: URLSearchParams): Promise<Answer> {
    try {
      const slice = await readSlice(mirror, query);
      if (!slice) return { status: 404, body: NO_BODY };
      const { state } = mirror;
      if (state !== 'readable') return { status: REFUSAL_STATUSES[state], body: NO_BODY };
      const body = this._encode(`${topic}/${query.get('from') ?? ''}`, slice);
      const isTooLarge = body.length > MAX_ANSWER_BYTES && !query.has('whole');
      return isTooLarge
        ? { status: TOO_LARGE_STATUS, body: NO_BODY }
        : { status: 200, body, headers: encodeSliceHeaders(slice) };
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) throw error;
      return { status: GONE_STATUS, body: NO_BODY, headers: encodeSliceEra(error.first) };
    }
  }

  private _encode(range: string, slice: TopicSlice): Buffer {
    const key = `${range}/${slice.end.era}/${slice.end.offset}`;
    let body = this._answers.get(key);
    if (!body) {
      body = encodeSlice(slice);
      this._answers.set(key, body);
      const [oldest] = this._answers.keys();
      if (this._answers.size > KEPT_ANSWERS && oldest !== undefined) this._answers.delete(oldest);
    }
    return body;
  }
}

const NO_BODY = Buffer.alloc(0);

const REFUSAL_STATUSES: Readonly<Record<Exclude<MirrorState, 'readable'>, number>> = {
  'second-hand': SECOND_HAND_STATUS,
  outdated: OUTDATED_STATUS,
};

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > MAX_MEMBERS_BYTES) throw new Error('The list of members is too long.');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function readSlice(mirror: TopicMirror, query: URLSearchParams): Promise<TopicSlice | undefined> {
  const from = query.get('from');
  if (from === null) return Promise.resolve(mirror.readNewest());
  const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait') ?? 0));
  // Nodes of earlier versions name no era. They would read all again at once, and again, if they were refused for it.
  const era = Number(query.get('era') ?? mirror.era ?? 0);
  return mirror.read({ era, offset: Number(from) }, waitMs);
}
