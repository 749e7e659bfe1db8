/** Looks up the customer of a bearer key in the configuration in force. */
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

/**
 * Length in hexadecimal digits of the prefix by which key hashes are indexed.
 * All hashes with the same prefix are compared in constant time.
 */
const hashPrefixLength = 4;

/** Authenticates callers; rebuilds its key index for each new configuration. */
export class CustomerAuthenticator {
  readonly #configurationSource: ConfigurationSource;
  #indexedConfiguration: Configuration | undefined;
  #keysByPrefix = new Map<string, KeyEntry[]>();

  constructor(configurationSource: ConfigurationSource) {
    this.#configurationSource = configurationSource;
  }

  /**
   * Returns the entitlement of the customer to whom the key belongs. Fails with
   * `not_ready` before the first configuration has been loaded, and with
   * `unauthenticated` if no customer has the key.
   */
  authenticate(key: string): Either<Failure, Entitlement> {
    return this.#configurationSource
      .getConfiguration()
      .toEither(
        new Failure(
          'not_ready',
          'this instance has not loaded a configuration yet',
          {
            retryAfterMs: 1_000,
          },
        ),
      )
      .chain(configuration => this.#findEntitlement(configuration, key));
  }

  #findEntitlement(
    configuration: Configuration,
    key: string,
  ): Either<Failure, Entitlement> {
    this.#rebuildIndex(configuration);
    const hash = hashKey(key);
    const entries =
      this.#keysByPrefix.get(hash.slice(0, hashPrefixLength)) ?? [];
    const entry = entries.find(candidate => isSameHash(candidate.hash, hash));
    if (entry === undefined) {
      return Left(
        new Failure('unauthenticated', 'the bearer key belongs to no customer'),
      );
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
  const entries = index.get(prefix) ?? [];
  entries.push(entry);
  index.set(prefix, entries);
};
