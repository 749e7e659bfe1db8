/** Components and settings shared by all streams of an instance. */
import type { Engine } from '../target/target.js';

import { InFlightRequests } from './in-flight-requests.js';
import { StreamLocations } from './stream-locations.js';
import { StreamIdCodec } from './stream-id.js';
import { streamSettingsSchema } from './stream-options.js';
import type {
  StreamDispatcherOptions,
  StreamSettings,
} from './stream-options.js';

/** Throws when the settings do not match `streamSettingsSchema`. */
export class StreamContext {
  readonly settings: StreamSettings;
  readonly streamIds: StreamIdCodec;
  readonly inFlightRequests: InFlightRequests;
  readonly streamLocations: StreamLocations;

  constructor(readonly options: StreamDispatcherOptions) {
    this.settings = streamSettingsSchema.parse(options.settings ?? {});
    this.streamIds = new StreamIdCodec(options.secret);
    this.inFlightRequests = new InFlightRequests(options.quarantine);
    this.streamLocations = new StreamLocations(options.peers);
  }

  /** Returns the newest incarnation of the engine with this name. */
  findEngine(name: string): Engine | undefined {
    const entries = this.options.directory.listEngines();
    return entries.find(({ target }) => target.name === name)?.target;
  }

  /** True when another incarnation has taken the engine's name. */
  isReplaced(engine: Engine): boolean {
    const current = this.findEngine(engine.name);
    return current !== undefined && current.incarnation !== engine.incarnation;
  }
}
