/** The library's error class: a result code with a message and details. */
import { z } from 'zod';

import { resultCodes } from './result-codes.js';
import type { ResultName } from './result-codes.js';

/**
 * Whether the request was run: `no` guarantees that it was not, `unknown` means
 * that it may have been.
 */
export const executionStatusSchema = z.enum(['no', 'unknown']);
export type ExecutionStatus = z.infer<typeof executionStatusSchema>;

/** Optional properties of a failure. */
export interface FailureOptions {
  /**
   * Defaults to `no`; must be `unknown` once a target may have got any byte.
   */
  readonly executed?: ExecutionStatus;
  /**
   * Time after which the caller may retry, in milliseconds from the response.
   */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
  /** Structured data for the caller, such as the diff of two revisions. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** Statuses that callers take to mean that the request was not run. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const badGatewayStatus = 502;

/** Body of all error responses, on all HTTP interfaces. */
export const errorBodySchema = z.object({
  error: z.object({
    number: z.number().int(),
    name: z.string(),
    message: z.string(),
    executed: executionStatusSchema,
    retry_after_ms: z.number().int().optional(),
    details: z.record(z.string(), z.unknown()).optional(),
  }),
});
export type ErrorBody = z.infer<typeof errorBodySchema>;

/** An error with a result code, usually returned in an `Either`, not thrown. */
export class Failure extends Error {
  readonly code: ResultName;
  readonly executed: ExecutionStatus;
  /** Whole milliseconds. */
  readonly retryAfterMs: number | undefined;
  readonly details: Readonly<Record<string, unknown>> | undefined;

  constructor(code: ResultName, message: string, options: FailureOptions = {}) {
    super(message, { cause: options.cause });
    this.name = 'Failure';
    this.code = code;
    this.executed = options.executed ?? 'no';
    this.retryAfterMs =
      options.retryAfterMs === undefined
        ? undefined
        : Math.ceil(options.retryAfterMs);
    this.details = options.details;
  }

  /** Number of the result code, as listed in `docs/ERRORS.md`. */
  get number(): number {
    return resultCodes[this.code].number;
  }

  /**
   * HTTP status of the error response. A request that may have run does not get one that
   * says it has not.
   */
  get status(): number {
    const { status } = resultCodes[this.code];
    const isFalse = this.executed === 'unknown' && notRunStatuses.has(status);
    return isFalse ? badGatewayStatus : status;
  }

  /** Creates the body of the error response. */
  toBody(): ErrorBody {
    return {
      error: {
        number: this.number,
        name: this.code,
        message: this.message,
        executed: this.executed,
        retry_after_ms: this.retryAfterMs,
        details: this.details,
      },
    };
  }

  /** Returns a copy of the failure with another execution status. */
  withExecuted(executed: ExecutionStatus): Failure {
    return new Failure(this.code, this.message, {
      executed,
      retryAfterMs: this.retryAfterMs,
      details: this.details,
      cause: this.cause,
    });
  }
}

/**
 * Converts a thrown value to a failure. A value that is no `Failure` becomes
 * `internal` with the execution status `unknown`.
 */
export const toFailure = (error: unknown): Failure => {
  if (error instanceof Failure) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new Failure('internal', message, {
    executed: 'unknown',
    cause: error,
  });
};
