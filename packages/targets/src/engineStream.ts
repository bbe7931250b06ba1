import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { TargetCallError, type TargetAnswer } from './targetClient.js';

/** Data of the event that ends a complete stream. */
export const TERMINAL_EVENT = '[DONE]';
/** Largest event, with the comments before it, in bytes. */
const MAX_EVENT_BYTES = 262_144;

/** One server-sent event of an engine's stream; a resumed stream continues after `id`. */
export interface EngineEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Checks that tests disable, to show that results are wrong without them. */
export interface StreamGuards {
  readonly needsTerminalEvent: boolean;
}

/**
 * Yields the events of an engine's stream, excluding the terminal one.
 * @throws TargetCallError with reason `truncated` when the stream ends without its terminal event, and `target-lost` when an
 * event has no end.
 */
export async function* readEvents(
  answer: TargetAnswer,
  guards: StreamGuards = { needsTerminalEvent: true },
): AsyncGenerator<EngineEvent> {
  const decoder = new TextDecoder();
  let parsedEvents: EventSourceMessage[] = [];
  const parser = createParser({
    onEvent: (event) => {
      parsedEvents.push(event);
    },
  });
  let pendingBytes = 0;
  for await (const chunk of answer.body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    const events = parsedEvents;
    parsedEvents = [];
    pendingBytes = events.length > 0 ? 0 : pendingBytes + chunk.length;
    if (pendingBytes > MAX_EVENT_BYTES)
      throw new TargetCallError('target-lost', false, `An event exceeds ${MAX_EVENT_BYTES} bytes.`);
    for (const event of events) {
      if (event.data === TERMINAL_EVENT) return;
      yield { id: event.id, data: event.data };
    }
  }
  if (!guards.needsTerminalEvent) return;
  throw new TargetCallError('truncated', false, 'The stream ended without its terminal event.');
}
