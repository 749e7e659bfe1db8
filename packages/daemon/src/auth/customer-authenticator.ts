/** Finds the customer of a bearer key in the configuration in force. */
import { Failure, resolveEntitlement } from '@medlarlever/core';
import type {
  Configuration,
  ConfigurationSource,
  Entitlement,
} from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { hashKey, sameHash } from './bearer-keys.js';

interface KeyEntry {
  readonly hash: string;
  readonly customer: string;
}

/** Hashes are grouped by a prefix; the rest is compared in constant time. */
const prefixLength = 4;

export class Customers {
  readonly #source: ConfigurationSource;
  #indexed: Configuration | undefined;
  #index = new Map<string, KeyEntry[]>();

  constructor(source: ConfigurationSource) {
    this.#source = source;
  }

  /** Entitlement of the key's customer; `not_ready` before a revision. */
  authenticate(key: string): Either<Failure, Entitlement> {
    return this.#source
      .getConfiguration()
      .toEither(
        new Failure('not_ready', 'no configuration has arrived yet', {
          retryAfterMs: 1_000,
        }),
      )
      .chain(configuration => this.#find(configuration, key));
  }

  #find(
    configuration: Configuration,
    key: string,
  ): Either<Failure, Entitlement> {
    this.#reindex(configuration);
    const hash = hashKey(key);
    const group = this.#index.get(hash.slice(0, prefixLength)) ?? [];
    const entry = group.find(candidate => sameHash(candidate.hash, hash));
    if (entry === undefined) {
      return Left(new Failure('unauthenticated', 'the key is unknown'));
    }
    return resolveEntitlement(configuration, entry.customer);
  }

  #reindex(configuration: Configuration): void {
    if (this.#indexed === configuration) return;
    const index = new Map<string, KeyEntry[]>();
    for (const template of Object.values(configuration.templates)) {
      for (const [customer, { key_hashes }] of Object.entries(
        template.customers,
      )) {
        for (const hash of key_hashes) addEntry(index, { hash, customer });
      }
    }
    this.#index = index;
    this.#indexed = configuration;
  }
}

const addEntry = (index: Map<string, KeyEntry[]>, entry: KeyEntry) => {
  const prefix = entry.hash.slice(0, prefixLength);
  const group = index.get(prefix) ?? [];
  group.push(entry);
  index.set(prefix, group);
};
