import { createParser, type EventSourceMessage } from 'eventsource-parser';
import { TargetCallError, type TargetAnswer } from './targetClient.js';

/** The data of the event that ends a whole answer. */
export const TERMINAL_EVENT = '[DONE]';

/** One event of an engine's stream; `id` serves to resume after it. */
export interface EngineEvent {
  readonly id: string | undefined;
  readonly data: string;
}

/** Removes guards for tests that show a proof fails without them. */
export interface StreamGuards {
  readonly needsTerminalEvent: boolean;
}

/**
 * The events of an engine's stream up to, and without, the terminal one.
 * @throws TargetCallError with `truncated` when the stream ends without its terminal event.
 */
export async function* readEvents(
  answer: TargetAnswer,
  guards: StreamGuards = { needsTerminalEvent: true },
): AsyncGenerator<EngineEvent> {
  const decoder = new TextDecoder();
  let ready: EventSourceMessage[] = [];
  const parser = createParser({
    onEvent: (event) => {
      ready.push(event);
    },
  });
  for await (const chunk of answer.body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
    const events = ready;
    ready = [];
    for (const event of events) {
      if (event.data === TERMINAL_EVENT) return;
      yield { id: event.id, data: event.data };
    }
  }
  if (!guards.needsTerminalEvent) return;
  throw new TargetCallError('truncated', false, 'The stream ended without its terminal event.');
}
