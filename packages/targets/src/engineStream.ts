import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { TargetCallError, type TargetAnswer } from './targetClient.js';

/** Data of the event that ends a complete stream. */
export const TERMINAL_EVENT = '[DONE]';

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
 * @throws TargetCallError with reason `truncated` when the stream ends without its terminal event.
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
  for await (const chunk of answer.body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    const events = parsedEvents;
    parsedEvents = [];
    for (const event of events) {
      if (event.data === TERMINAL_EVENT) return;
      yield { id: event.id, data: event.data };
    }
  }
  if (!guards.needsTerminalEvent) return;
  throw new TargetCallError('truncated', false, 'The stream ended without its terminal event.');
}
