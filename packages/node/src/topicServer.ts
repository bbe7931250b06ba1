import { createServer, type ServerResponse } from 'node:http';
import { type Counters, splitAddress } from '@monsoonreach/core';
import { HistoryGoneError } from '@monsoonreach/platform';
import { encodeSlice } from './topicMessages.js';
import type { TopicMirror, TopicSlice } from './topicMirror.js';

/** Maximum wait that a peer may request, in milliseconds. */
const MAX_WAIT_MS = 5_000;
/** Largest answer to a peer that can read the store itself, in bytes; a node's link is narrow, and many peers read. */
const MAX_ANSWER_BYTES = 32_768;

/** Status when the answer would be too large and the peer should read the store instead. */
export const TOO_LARGE_STATUS = 413;
/** Status when this node itself reads through a peer; two nodes that read through each other would get no changes. */
export const SECOND_HAND_STATUS = 409;
/** Status when the requested offset is older than the changes that are kept. */
export const GONE_STATUS = 410;

/** HTTP server from which peers read the store's topics as this node has them. */
export class TopicServer {
  constructor(
    private readonly _address: string,
    private readonly _mirrors: ReadonlyMap<string, TopicMirror>,
    private readonly _counters: Counters,
  ) {}

  start(): Promise<void> {
    const { host, port } = splitAddress(this._address);
    const server = createServer((request, response) => {
      void this._handleRequest(new URL(request.url ?? '/', `http://${this._address}`), response);
    });
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({ host, port }, resolve);
    });
  }

  private async _handleRequest(url: URL, response: ServerResponse): Promise<void> {
    const topic = /^\/topics\/(.+)$/.exec(url.pathname)?.[1];
    const mirror = topic === undefined ? undefined : this._mirrors.get(topic);
    const [status, text] = mirror ? await this._read(mirror, url.searchParams) : [404, ''];
    this._counters.add('monsoonreach_topic_answers_total', { status: String(status) });
    response.writeHead(status, {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    });
    response.end(text);
  }

  private async _read(mirror: TopicMirror, query: URLSearchParams): Promise<readonly [number, string]> {
    try {
      const slice = await readSlice(mirror, query);
      if (!slice) return [404, ''];
      if (!mirror.isFirstHand) return [SECOND_HAND_STATUS, ''];
      const text = encodeSlice(slice);
      const isTooLarge = text.length > MAX_ANSWER_BYTES && !query.has('whole');
      return isTooLarge ? [TOO_LARGE_STATUS, ''] : [200, text];
    } catch (error) {
      if (!(error instanceof HistoryGoneError)) throw error;
      return [GONE_STATUS, JSON.stringify({ first: error.first })];
    }
  }
}

function readSlice(mirror: TopicMirror, query: URLSearchParams): Promise<TopicSlice | undefined> {
  const from = query.get('from');
  if (from === null) return Promise.resolve(mirror.readNewest());
  const waitMs = Math.min(MAX_WAIT_MS, Number(query.get('wait') ?? 0));
  return mirror.read(Number(from), waitMs);
}
