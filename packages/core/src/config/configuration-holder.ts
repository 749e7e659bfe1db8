/** Holds the newest configuration that this instance knows. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import type { Log } from '../shared/log.js';

import { ConfigurationSource } from './configuration-source.js';
import type { ConfigurationListener } from './configuration-source.js';
import type { Configuration } from './template.js';

/** What became of an offered configuration. */
export type ApplyResult = 'accepted' | 'same' | 'stale';

/**
 * Only moves forward: an offer below the revision in force, or below one that
 * is known to be committed, is refused whoever makes it.
 */
export class ConfigurationHolder extends ConfigurationSource {
  readonly #log: Log;
  readonly #listeners = new Set<ConfigurationListener>();
  #currentConfiguration: Maybe<Configuration> = Nothing;
  #highestCommittedRevision = -1;

  constructor(log: Log) {
    super();
    this.#log = log;
  }

  override getConfiguration(): Maybe<Configuration> {
    return this.#currentConfiguration;
  }

  override onChange(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Revision in force, or -1. */
  get revision(): number {
    return this.#currentConfiguration
      .map(({ revision }) => revision)
      .orDefault(-1);
  }

  /** Newest revision that is known to be committed, or -1. */
  get highestCommittedRevision(): number {
    return this.#highestCommittedRevision;
  }

  /** Notes that a revision was committed, though its content may be lacking. */
  recordCommittedRevision(revision: number): void {
    this.#highestCommittedRevision = Math.max(
      this.#highestCommittedRevision,
      revision,
    );
  }

  applyIfNewer(configuration: Configuration, source: string): ApplyResult {
    const { revision, operationId } = configuration;
    if (revision === this.revision) return 'same';
    if (revision < this.#highestCommittedRevision) {
      const { highestCommittedRevision: highestSeen } = this;
      this.#log.writeEvent('revision_refused', {
        revision,
        highestSeen,
        source,
      });
      return 'stale';
    }
    this.recordCommittedRevision(revision);
    this.#currentConfiguration = Just(configuration);
    this.#log.writeEvent('revision_in_force', {
      revision,
      operationId,
      source,
    });
    for (const listener of this.#listeners) listener(configuration);
    return 'accepted';
  }
}
