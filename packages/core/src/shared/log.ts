/** Structured logging of numbered events. */
import { Logger } from 'tslog';

import { logEvents } from './events.js';
import type { EventName } from './events.js';

/** Further fields of an event; the values must be valid JSON. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes numbered events to a destination. */
export abstract class Log {
  abstract writeEvent(name: EventName, fields?: EventFields): void;
}

/** Writes events to standard output, one JSON object per line, by tslog. */
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

/** Keeps events in memory, for tests and for embedding without a log. */
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
