/** A log of numbered events whose volume is bounded for each event. */
import { Log, logEvents } from '@medlarlever/core';
import type { EventFields, EventName } from '@medlarlever/core';
import { Logger } from 'tslog';

import type { LineWriter } from './line-writer.js';

/** Lines a second of an event; failures are told longest. */
const linesPerSecond = { debug: 5, info: 40, warn: 120, error: 120 } as const;

/** Seconds of lines that may come at once. */
const burstSeconds = 2;
const msPerSecond = 1_000;

interface EventBucket {
  level: number;
  atMs: number;
  dropped: number;
}

export class BoundedLog extends Log {
  readonly #logger: Logger<unknown>;
  readonly #buckets = new Map<EventName, EventBucket>();

  constructor(
    name: string,
    private readonly writer: LineWriter,
  ) {
    super();
    this.#logger = new Logger({
      name,
      type: 'hidden',
      hideLogPositionForProduction: true,
    });
    this.#logger.attachTransport(line => {
      writer.line(JSON.stringify(line));
    });
  }

  override event(name: EventName, fields: EventFields = {}): void {
    const bucket = this.#bucket(name);
    if (bucket.level < 1) {
      bucket.dropped += 1;
      return;
    }
    bucket.level -= 1;
    if (bucket.dropped > 0) this.#tellDropped(name, bucket);
    this.#write(name, fields);
  }

  #write(name: EventName, fields: EventFields): void {
    const { number, level } = logEvents[name];
    this.#logger[level]({ event: number, name, ...fields });
  }

  #tellDropped(name: EventName, bucket: EventBucket): void {
    const lines = bucket.dropped;
    bucket.dropped = 0;
    const unwritten = this.writer.dropped;
    this.#write('log_dropped', { of: name, lines, unwritten });
  }

  #bucket(name: EventName): EventBucket {
    const nowMs = performance.now();
    const rate = linesPerSecond[logEvents[name].level];
    const bucket = this.#buckets.get(name) ?? {
      level: rate * burstSeconds,
      atMs: nowMs,
      dropped: 0,
    };
    const gained = ((nowMs - bucket.atMs) * rate) / msPerSecond;
    bucket.level = Math.min(rate * burstSeconds, bucket.level + gained);
    bucket.atMs = nowMs;
    this.#buckets.set(name, bucket);
    return bucket;
  }
}
