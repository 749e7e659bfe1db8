/** The configuration in force at this instance. */
import type { Maybe } from 'purify-ts';

import type { Configuration } from './template.js';

/** Told after a newer configuration came into force. */
export type ConfigurationListener = (configuration: Configuration) => void;

export abstract class ConfigurationSource {
  /** `Nothing` until a revision came from the platform or a peer. */
  abstract getConfiguration(): Maybe<Configuration>;

  /** Returns the function that ends the subscription. */
  abstract onChange(listener: ConfigurationListener): () => void;
}
