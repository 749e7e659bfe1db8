/** Parts shared by all streams of an instance. */
import type { Engine } from '../target/target.js';

import { InFlight } from './in-flight-requests.js';
import { MovedStreams } from './stream-locations.js';
import { StreamIds } from './stream-id.js';
import { streamSettingsSchema } from './stream-options.js';
import type {
  StreamDispatcherOptions,
  StreamSettings,
} from './stream-options.js';

export class StreamContext {
  readonly settings: StreamSettings;
  readonly ids: StreamIds;
  readonly inFlight: InFlight;
  readonly moved: MovedStreams;

  constructor(readonly options: StreamDispatcherOptions) {
    this.settings = streamSettingsSchema.parse(options.settings ?? {});
    this.ids = new StreamIds(options.secret);
    this.inFlight = new InFlight(options.quarantine);
    this.moved = new MovedStreams(options.peers);
  }

  /** The engine of that name in its newest incarnation. */
  engine(name: string): Engine | undefined {
    const entries = this.options.directory.engines();
    return entries.find(({ target }) => target.name === name)?.target;
  }

  /** True when another incarnation has taken the engine's name. */
  replaced(engine: Engine): boolean {
    const current = this.engine(engine.name);
    return current !== undefined && current.incarnation !== engine.incarnation;
  }
}
