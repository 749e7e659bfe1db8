/** The typed error of the library: a numbered result with its circumstances. */
import { z } from 'zod';

import { resultCodes } from './result-codes.js';
import type { ResultName } from './result-codes.js';

/** Whether the request reached a target: `no` is a claim of fact. */
export const executionStatusSchema = z.enum(['no', 'unknown']);
export type ExecutionStatus = z.infer<typeof executionStatusSchema>;

/** What accompanies a failure. */
export interface FailureOptions {
  /** Defaults to `no`: give `unknown` once any byte reached a target. */
  readonly executed?: ExecutionStatus;
  /** When the caller should try again, in milliseconds from now. */
  readonly retryAfterMs?: number;
  readonly cause?: unknown;
  /** Structured facts for the caller, such as a difference of revisions. */
  readonly details?: Readonly<Record<string, unknown>>;
}

/** Body of every error answer on every interface. */
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

/** A numbered failure; returned inside `Either` rather than thrown. */
export class Failure extends Error {
  readonly code: ResultName;
  readonly executed: ExecutionStatus;
  readonly retryAfterMs: number | undefined;
  readonly details: Readonly<Record<string, unknown>> | undefined;

  constructor(code: ResultName, message: string, options: FailureOptions = {}) {
    super(message, { cause: options.cause });
    this.name = 'Failure';
    this.code = code;
    this.executed = options.executed ?? 'no';
    this.retryAfterMs = options.retryAfterMs;
    this.details = options.details;
  }

  /** Number of the result, as listed in `docs/ERRORS.md`. */
  get number(): number {
    return resultCodes[this.code].number;
  }

  /** HTTP status that carries the result. */
  get status(): number {
    return resultCodes[this.code].status;
  }

  /** Body of the error answer. */
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

  /** The same failure, known to have possibly reached a target. */
  withExecuted(executed: ExecutionStatus): Failure {
    return new Failure(this.code, this.message, {
      executed,
      retryAfterMs: this.retryAfterMs,
      details: this.details,
      cause: this.cause,
    });
  }
}

/** Turns anything thrown into a failure; unknown errors become `internal`. */
export const toFailure = (error: unknown): Failure => {
  if (error instanceof Failure) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new Failure('internal', message, {
    executed: 'unknown',
    cause: error,
  });
};
