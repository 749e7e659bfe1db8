/** The parts that count, exchange and report usage. */
import type { RelayRequest } from '../requests/relay-request.js';

import type { UsageCounter } from './usage-counter.js';
import type { UsageExchange } from './usage-exchange.js';
import type { UsageReporter } from './usage-reporter.js';

/** Parts of an instance whose settings ask for usage reports. */
export interface UsageParts {
  readonly counter: UsageCounter;
  readonly exchange: UsageExchange;
  readonly reporter: UsageReporter;
}

/**
 * Creates the relay's listener, which counts the requests of customers; undefined
 * if no usage is reported.
 */
export const createRunStartListener = (
  parts: UsageParts | undefined,
): ((request: RelayRequest, startedAtMs: number) => void) | undefined =>
  parts &&
  (({ customer }, startedAtMs) => {
    if (customer !== undefined)
      parts.counter.recordRunStart(customer, startedAtMs);
  });
