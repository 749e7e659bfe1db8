/** Holds the configuration that is in force at this instance. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import type { Log } from '../shared/log.js';

import { ConfigurationSource } from './configuration-source.js';
import type { ConfigurationListener } from './configuration-source.js';
import type { Configuration } from './template.js';

/** Result of `applyIfNewer`: applied, already in force, or refused as older. */
export type ApplyResult = 'accepted' | 'same' | 'stale';

/**
 * Never goes back to an older revision: refuses a configuration whose revision
 * is below the one in force, or below one that is known to be committed.
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

  /** Revision in force; -1 before the first one. */
  get revision(): number {
    return this.#currentConfiguration
      .map(({ revision }) => revision)
      .orDefault(-1);
  }

  /** Highest revision known to be committed; -1 if none is known. */
  get highestCommittedRevision(): number {
    return this.#highestCommittedRevision;
  }

  /**
   * Records that a revision was committed, even if its content isn't loaded.
   */
  recordCommittedRevision(revision: number): void {
    this.#highestCommittedRevision = Math.max(
      this.#highestCommittedRevision,
      revision,
    );
  }

  /**
   * Puts the configuration in force and notifies listeners, unless its revision
   * is not newer.
   */
  applyIfNewer(configuration: Configuration, source: string): ApplyResult {
    const { revision, operationId } = configuration;
    if (revision === this.revision) return 'same';
    if (revision < this.#highestCommittedRevision) {
      const { highestCommittedRevision } = this;
      this.#log.writeEvent('revision_refused', {
        revision,
        highestSeen: highestCommittedRevision,
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
