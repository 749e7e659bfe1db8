/** Structured log of numbered events. */
import { Logger } from 'tslog';

import { logEvents } from './events.js';
import type { EventName } from './events.js';

/** Facts that accompany an event; values must be JSON. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Where numbered events go. */
export abstract class Log {
  abstract writeEvent(name: EventName, fields?: EventFields): void;
}

/** Writes events as JSON lines to standard output through tslog. */
export class JsonLog extends Log {
  readonly #logger: Logger<unknown>;

  constructor(name: string) {
    super();
    this.#logger = new Logger({
      name,
      type: 'json',
      hideLogPositionForProduction: true,
    });
  }

  override writeEvent(name: EventName, fields: EventFields = {}): void {
    const { number, level } = logEvents[name];
    this.#logger[level]({ event: number, name, ...fields });
  }
}

/** Keeps events in memory; for tests and for embedding without a log. */
export class MemoryLog extends Log {
  readonly entries: {
    readonly name: EventName;
    readonly fields: EventFields;
  }[] = [];

  override writeEvent(name: EventName, fields: EventFields = {}): void {
    this.entries.push({ name, fields });
  }
}

/** Drops every event. */
export class SilentLog extends Log {
  override writeEvent(): void {
    return;
  }
}
