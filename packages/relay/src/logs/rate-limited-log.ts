/** Log of numbered events with a rate limit for each event name. */
import { Log, logEvents } from '@medlarlever/core';
import type { EventFields, EventName } from '@medlarlever/core';
import { Logger } from 'tslog';

import type { LineWriter } from './line-writer.js';

/**
 * Maximum lines per second of one event, by its level. Warnings and errors have
 * the highest limit, so that they are dropped last.
 */
const maxLinesPerSecond = {
  debug: 5,
  info: 40,
  warn: 120,
  error: 120,
} as const;

/** Size of a burst, in seconds at the maximum rate. */
const burstSeconds = 2;
const msPerSecond = 1_000;

/** Rate limiter state of one event. */
interface TokenBucket {
  availableLines: number;
  /** Time of the last refill, in milliseconds on the monotonic clock. */
  updatedAtMs: number;
  /** Lines dropped since the last `log_dropped` event. */
  droppedLines: number;
}

/** Writes events as JSON lines and drops those that exceed the rate limit. */
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
    const linesPerSecond = maxLinesPerSecond[logEvents[name].level];
    const bucket = this.#bucketsByEvent.get(name) ?? {
      availableLines: linesPerSecond * burstSeconds,
      updatedAtMs: nowMs,
      droppedLines: 0,
    };
    const refilledLines =
      ((nowMs - bucket.updatedAtMs) * linesPerSecond) / msPerSecond;
    bucket.availableLines = Math.min(
      linesPerSecond * burstSeconds,
      bucket.availableLines + refilledLines,
    );
    bucket.updatedAtMs = nowMs;
    this.#bucketsByEvent.set(name, bucket);
    return bucket;
  }
}
