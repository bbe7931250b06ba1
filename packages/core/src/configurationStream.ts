import * as z from 'zod';
import type { AppliedRecord, StreamDefinition, StreamState } from './streamReducer.js';

/** A record of the `config` stream: a complete document, based on the one that the operator saw. */
export type ConfigurationBody =
  | { readonly kind: 'publish'; readonly basis: number; readonly text: string }
  | { readonly kind: 'checkpoint'; readonly chunk: unknown };

/** Why a publication is rejected. */
export type ConfigurationRejection = 'basis-superseded';

/** The document in force. */
export interface PublishedConfiguration {
  readonly position: number;
  readonly text: string;
  readonly publishedBy: string;
}

/** Checks that tests can switch off, to show that the model then violates its properties. */
export interface ConfigurationGuards {
  readonly publishNeedsBasis: boolean;
}

const bodySchema: z.ZodType<ConfigurationBody> = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('publish'), basis: z.number().int().nonnegative(), text: z.string() }),
  z.object({ kind: z.literal('checkpoint'), chunk: z.unknown() }),
]);

/**
 * The newest accepted document. Of two concurrent publications, the first in the log wins and the second is
 * rejected.
 */
export class CurrentConfiguration implements StreamState<ConfigurationBody, ConfigurationRejection> {
  private _current: PublishedConfiguration | undefined;

  constructor(
    snapshot?: PublishedConfiguration,
    private readonly _guards: ConfigurationGuards = { publishNeedsBasis: true },
  ) {
    this._current = snapshot;
  }

  current(): PublishedConfiguration | undefined {
    return this._current;
  }

  apply(record: AppliedRecord<ConfigurationBody>): ConfigurationRejection | undefined {
    const { body, writer } = record.envelope;
    if (body.kind === 'checkpoint') return undefined;
    const basis = this._current?.position ?? 0;
    if (this._guards.publishNeedsBasis && body.basis !== basis) return 'basis-superseded';
    this._current = { position: record.position, text: body.text, publishedBy: writer.address };
    return undefined;
  }

  expire(): void {
    return;
  }

  snapshot(): PublishedConfiguration | null {
    return this._current ?? null;
  }
}

/** Definition of the `config` stream. */
export const configurationDefinition: StreamDefinition<
  ConfigurationBody,
  ConfigurationRejection,
  CurrentConfiguration
> = {
  bodySchema,
  create: () => new CurrentConfiguration(),
  restore: (snapshot) => new CurrentConfiguration((snapshot as PublishedConfiguration | null) ?? undefined),
};
