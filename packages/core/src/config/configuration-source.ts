/** Interface for reading the configuration in force at this instance. */
import type { Maybe } from 'purify-ts';

import type { Configuration } from './template.js';

/** Called after a newer configuration came into force. */
export type ConfigurationListener = (configuration: Configuration) => void;

/** Gives the configuration in force and notifies listeners of changes. */
export abstract class ConfigurationSource {
  /** `Nothing` until a revision was loaded from the platform or a peer. */
  abstract getConfiguration(): Maybe<Configuration>;

  /** Adds a listener; the returned function removes it. */
  abstract onChange(listener: ConfigurationListener): () => void;
}
