/** A log of numbered events whose volume is bounded for each event. */
import { Log, logEvents } from '@medlarlever/core';
import type { EventFields, EventName } from '@medlarlever/core';
import { Logger } from 'tslog';

import type { LineWriter } from './line-writer.js';

/** Lines a second of an event; failures are told longest. */
const maxLinesPerSecond = {
  debug: 5,
  info: 40,
  warn: 120,
  error: 120,
} as const;

/** Seconds of lines that may come at once. */
const burstSeconds = 2;
const msPerSecond = 1_000;

interface TokenBucket {
  availableLines: number;
  updatedAtMs: number;
  droppedLines: number;
}

export class RateLimitedLog extends Log {
  readonly #logger: Logger<unknown>;
  readonly #bucketsByEvent = new Map<EventName, TokenBucket>();

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
      writer.writeLine(JSON.stringify(line));
    });
  }

  override writeEvent(name: EventName, fields: EventFields = {}): void {
    const bucket = this.#refillBucket(name);
    if (bucket.availableLines < 1) {
      bucket.droppedLines += 1;
      return;
    }
    bucket.availableLines -= 1;
    if (bucket.droppedLines > 0) this.#logDroppedLines(name, bucket);
    this.#writeEvent(name, fields);
  }

  #writeEvent(name: EventName, fields: EventFields): void {
    const { number, level } = logEvents[name];
    this.#logger[level]({ event: number, name, ...fields });
  }

  #logDroppedLines(name: EventName, bucket: TokenBucket): void {
    const lines = bucket.droppedLines;
    bucket.droppedLines = 0;
    const unwritten = this.writer.droppedLines;
    this.#writeEvent('log_dropped', { of: name, lines, unwritten });
  }

  #refillBucket(name: EventName): TokenBucket {
    const nowMs = performance.now();
    const rate = maxLinesPerSecond[logEvents[name].level];
    const bucket = this.#bucketsByEvent.get(name) ?? {
      availableLines: rate * burstSeconds,
      updatedAtMs: nowMs,
      droppedLines: 0,
    };
    const gained = ((nowMs - bucket.updatedAtMs) * rate) / msPerSecond;
    bucket.availableLines = Math.min(
      rate * burstSeconds,
      bucket.availableLines + gained,
    );
    bucket.updatedAtMs = nowMs;
    this.#bucketsByEvent.set(name, bucket);
    return bucket;
  }
}
