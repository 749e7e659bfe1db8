/** A crash that one request may have caused, and what instances tell each other of it. */
import { z } from 'zod';

/** A crash of a target while it ran the request. */
export interface RequestCrash {
  readonly fingerprint: string;
  readonly target: string;
  /** Start of the incarnation that crashed, in epoch milliseconds of its clock. */
  readonly startedAtMs: number;
  /** Monotonic milliseconds at which the connection broke. */
  readonly atMs: number;
  /** Monotonic milliseconds at which the request last crashed a target or was refused. */
  readonly lastUseMs: number;
}

/** An answer to a request that was suspected of a crash. */
export interface AnsweredRequest {
  readonly fingerprint: string;
  /** Monotonic milliseconds of the answer. */
  readonly atMs: number;
}

/**
 * Fingerprint, target, start of its incarnation, the age of the crash, and the time since
 * the request last crashed a target or was refused (both in milliseconds).
 */
export const reportedRequestCrashSchema = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.number(),
  z.number(),
]);
export type ReportedRequestCrash = z.infer<typeof reportedRequestCrashSchema>;

/** Fingerprint, and the age of its last answer in milliseconds. */
export const answeredRequestSchema = z.tuple([z.string(), z.number()]);
export type ReportedAnswer = z.infer<typeof answeredRequestSchema>;

/** Creates the report of a crash as of now. */
export const encodeRequestCrash = ({
  fingerprint,
  target,
  startedAtMs,
  atMs,
  lastUseMs,
}: RequestCrash): ReportedRequestCrash => [
  fingerprint,
  target,
  startedAtMs,
  Math.round(performance.now() - atMs),
  Math.round(performance.now() - lastUseMs),
];

/** Reads a report that arrives now. */
export const decodeRequestCrash = ([
  fingerprint,
  target,
  startedAtMs,
  ageMs,
  idleMs,
]: ReportedRequestCrash): RequestCrash => ({
  fingerprint,
  target,
  startedAtMs,
  atMs: performance.now() - ageMs,
  lastUseMs: performance.now() - idleMs,
});

/** Creates the report of an answer as of now. */
export const encodeAnsweredRequest = ({
  fingerprint,
  atMs,
}: AnsweredRequest): ReportedAnswer => [
  fingerprint,
  Math.round(performance.now() - atMs),
];

/** Reads a report that arrives now. */
export const decodeAnsweredRequest = ([
  fingerprint,
  ageMs,
]: ReportedAnswer): AnsweredRequest => ({
  fingerprint,
  atMs: performance.now() - ageMs,
});
