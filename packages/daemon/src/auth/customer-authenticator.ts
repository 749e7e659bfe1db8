/** Finds the customer of a bearer key in the configuration in force. */
import { Failure, resolveEntitlement } from '@medlarlever/core';
import type {
  Configuration,
  ConfigurationSource,
  Entitlement,
} from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { hashKey, isSameHash } from './bearer-keys.js';

interface KeyEntry {
  readonly hash: string;
  readonly customer: string;
}

/** Hashes are grouped by a prefix; the rest is compared in constant time. */
const hashPrefixLength = 4;

export class CustomerAuthenticator {
  readonly #configurationSource: ConfigurationSource;
  #indexedConfiguration: Configuration | undefined;
  #keysByPrefix = new Map<string, KeyEntry[]>();

  constructor(source: ConfigurationSource) {
    this.#configurationSource = source;
  }

  /** Entitlement of the key's customer; `not_ready` before a revision. */
  authenticate(key: string): Either<Failure, Entitlement> {
    return this.#configurationSource
      .getConfiguration()
      .toEither(
        new Failure('not_ready', 'no configuration has arrived yet', {
          retryAfterMs: 1_000,
        }),
      )
      .chain(configuration => this.#findEntitlement(configuration, key));
  }

  #findEntitlement(
    configuration: Configuration,
    key: string,
  ): Either<Failure, Entitlement> {
    this.#rebuildIndex(configuration);
    const hash = hashKey(key);
    const group = this.#keysByPrefix.get(hash.slice(0, hashPrefixLength)) ?? [];
    const entry = group.find(candidate => isSameHash(candidate.hash, hash));
    if (entry === undefined) {
      return Left(new Failure('unauthenticated', 'the key is unknown'));
    }
    return resolveEntitlement(configuration, entry.customer);
  }

  #rebuildIndex(configuration: Configuration): void {
    if (this.#indexedConfiguration === configuration) return;
    const index = new Map<string, KeyEntry[]>();
    for (const template of Object.values(configuration.templates)) {
      for (const [customer, { key_hashes }] of Object.entries(
        template.customers,
      )) {
        for (const hash of key_hashes) addKeyEntry(index, { hash, customer });
      }
    }
    this.#keysByPrefix = index;
    this.#indexedConfiguration = configuration;
  }
}

const addKeyEntry = (index: Map<string, KeyEntry[]>, entry: KeyEntry) => {
  const prefix = entry.hash.slice(0, hashPrefixLength);
  const group = index.get(prefix) ?? [];
  group.push(entry);
  index.set(prefix, group);
};
