import { toProblem } from './problem.js';
import type { StreamPart } from './requests.js';

const encoder = new TextEncoder();

/**
 * Encodes parts as a server-sent event stream that ends with `[DONE]` only if it is complete. Parts are read
 * only as fast as the caller consumes them; when the caller disconnects, reading stops.
 */
export function toEventStream(
  parts: AsyncIterable<StreamPart>,
  options: { readonly requestId: string; readonly onEnd: (isComplete: boolean) => void },
): ReadableStream<Uint8Array> {
  const iterator = parts[Symbol.asyncIterator]();
  return new ReadableStream<Uint8Array>(
    {
      pull: async (controller) => {
        const next = await iterator.next();
        if (next.done) {
          controller.enqueue(encoder.encode('data: [DONE]\n\n'));
          controller.close();
          options.onEnd(true);
          return;
        }
        controller.enqueue(encoder.encode(`data: ${toData(next.value, options.requestId)}\n\n`));
        if (next.value.kind === 'event') return;
        controller.close();
        options.onEnd(false);
      },
      cancel: async () => {
        options.onEnd(false);
        await iterator.return?.();
      },
    },
    { highWaterMark: 1 },
  );
}

function toData(part: StreamPart, requestId: string): string {
  switch (part.kind) {
    case 'event':
      return part.data;
    case 'failed': {
      const problem = toProblem(part.outcome, requestId);
      return JSON.stringify({ error: { ...problem, message: problem.detail, code: problem.reason } });
    }
  }
}
