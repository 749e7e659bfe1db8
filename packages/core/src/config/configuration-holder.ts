/** Holds the newest configuration that this instance knows. */
import { Just, Nothing } from 'purify-ts';
import type { Maybe } from 'purify-ts';

import type { Log } from '../shared/log.js';

import { ConfigurationSource } from './configuration-source.js';
import type { ConfigurationListener } from './configuration-source.js';
import type { Configuration } from './template.js';

/** What became of an offered configuration. */
export type OfferResult = 'accepted' | 'same' | 'stale';

/**
 * Only moves forward: an offer below the revision in force, or below one that
 * is known to be committed, is refused whoever makes it.
 */
export class ConfigurationHolder extends ConfigurationSource {
  readonly #log: Log;
  readonly #listeners = new Set<ConfigurationListener>();
  #current: Maybe<Configuration> = Nothing;
  #highestSeen = -1;

  constructor(log: Log) {
    super();
    this.#log = log;
  }

  override current(): Maybe<Configuration> {
    return this.#current;
  }

  override onChange(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Revision in force, or -1. */
  get revision(): number {
    return this.#current.map(({ revision }) => revision).orDefault(-1);
  }

  /** Newest revision that is known to be committed, or -1. */
  get highestSeen(): number {
    return this.#highestSeen;
  }

  /** Notes that a revision was committed, though its content may be lacking. */
  saw(revision: number): void {
    this.#highestSeen = Math.max(this.#highestSeen, revision);
  }

  offer(configuration: Configuration, source: string): OfferResult {
    const { revision, operationId } = configuration;
    if (revision === this.revision) return 'same';
    if (revision < this.#highestSeen) {
      const { highestSeen } = this;
      this.#log.event('revision_refused', { revision, highestSeen, source });
      return 'stale';
    }
    this.saw(revision);
    this.#current = Just(configuration);
    this.#log.event('revision_in_force', { revision, operationId, source });
    for (const listener of this.#listeners) listener(configuration);
    return 'accepted';
  }
}
