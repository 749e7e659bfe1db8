/** Messages in which instances report their load on the targets to each other. */
import { z } from 'zod';

import {
  answeredRequestSchema,
  reportedRequestCrashSchema,
} from '../crashes/request-crash.js';
import {
  answeredPartSchema,
  reportedCrashSchema,
} from '../crashes/target-crash.js';
import { tableConfirmationSchema } from '../change-streams/change-stream.js';
import { reportedLimitSchema } from '../limits/reported-limit.js';
import { begunStreamSchema } from '../origins/stream-origin.js';

/** Peer method for an instance's own report or an aggregator's combined report. */
export const loadReportMethod = 'relay.news';

/** Peer method for a member's report to the aggregator of its data centre. */
export const memberReportMethod = 'relay.report';

/** Peer method for a combined report to the aggregators of other data centres. */
export const dataCenterReportMethod = 'relay.data-center-news';

/** Loads expire this long after the last report of their sender. */
export const loadReportTtlMs = 1_200;

const promptSegmentSchema = z.tuple([z.string(), z.number()]);

const baseReportSchema = z.object({
  from: z.string(),
  /** Configuration version in force at the sender. */
  revision: z.number(),
  /**
   * Target, its pending prompt tokens, running requests, and the milliseconds
   * since the sender last received anything from the target.
   */
  loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  /**
   * Target, tokens of the KV caches that the requests take there, and the number of
   * these requests. Absent in the reports of instances that do not count tokens.
   */
  held: z.array(z.tuple([z.string(), z.number(), z.number()])).optional(),
  /** Service, and the prompt tokens sent for prefill since the process started. */
  placed: z.array(z.tuple([z.string(), z.number()])),
  /**
   * Target, the prompt segments whose prefill started there, and the expected
   * duration of that prefill in milliseconds.
   */
  read: z.array(
    z.tuple([z.string(), z.array(promptSegmentSchema), z.number()]),
  ),
  /**
   * Target, mean ratio of measured to expected durations there, and the number
   * of samples.
   */
  pace: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
  limits: z.array(reportedLimitSchema).default([]),
  /** Names of the instances that reach no target. */
  cutOff: z.array(z.string()).default([]),
  begun: z.array(begunStreamSchema).default([]),
  /** Crashes with the prompts that may have caused them. */
  targetCrashes: z.array(reportedCrashSchema).default([]),
  /** Parts of such prompts that were answered. */
  answeredParts: z.array(answeredPartSchema).default([]),
  /** Incarnations that were reported as crashed and have answered since. */
  refutedCrashes: z.array(z.string()).default([]),
  /** Crashes with the requests that may have caused them. */
  requestCrashes: z.array(reportedRequestCrashSchema).default([]),
  /** Requests that were answered after such a crash. */
  answeredRequests: z.array(answeredRequestSchema).default([]),
  /**
   * Request fingerprint, and the target that crashed while processing the request: the
   * same crashes for instances of earlier versions.
   */
  crashes: z.array(z.tuple([z.string(), z.string()])),
});

/** Report of an aggregator of another data centre, as its receiver passes it on. */
const remoteReportSchema = baseReportSchema.extend({
  /** Milliseconds for which the report has waited to be passed on. */
  waitedMs: z.number(),
});
export type RemoteReport = z.infer<typeof remoteReportSchema>;

/** Schema of the parameters of all three methods. */
export const loadReportSchema = baseReportSchema.extend({
  /**
   * In a member's report: true if the member accepts the two fields below. Instances of
   * earlier versions get a message for each instead.
   */
  acceptsRemote: z.boolean().default(false),
  /** In an aggregator's report: reports of other data centres since the last one. */
  remote: z.array(remoteReportSchema).default([]),
  /** In an aggregator's report: tables that it has found unchanged. */
  unchanged: z.array(tableConfirmationSchema).default([]),
});

/** Load report of one instance, or the combined report of an aggregator. */
export type LoadReport = z.infer<typeof loadReportSchema>;

/** Fields of a report that list events, each of which is reported once. */
const eventFields = [
  'read',
  'pace',
  'crashes',
  'requestCrashes',
  'answeredRequests',
  'begun',
  'targetCrashes',
  'answeredParts',
  'refutedCrashes',
] as const;
export type ReportedEvents = Pick<LoadReport, (typeof eventFields)[number]>;

/** Creates an empty collection of events. */
export const createNoEvents = (): ReportedEvents => ({
  read: [],
  pace: [],
  crashes: [],
  requestCrashes: [],
  answeredRequests: [],
  begun: [],
  targetCrashes: [],
  answeredParts: [],
  refutedCrashes: [],
});

/** True if the report says that something goes on or has happened. */
export const hasContent = (report: LoadReport): boolean =>
  report.loads.length > 0 ||
  report.limits.length > 0 ||
  report.cutOff.length > 0 ||
  report.remote.some(({ loads }) => loads.length > 0) ||
  [report, ...report.remote].some(events =>
    eventFields.some(field => events[field].length > 0),
  );

/** Returns the report with the ages of what it says as of now. */
export const ageReport = ({
  waitedMs,
  ...report
}: RemoteReport): LoadReport => ({
  ...report,
  loads: report.loads.map(([id, prefillTokens, running, silentMs]) => [
    id,
    prefillTokens,
    running,
    silentMs + waitedMs,
  ]),
  limits: report.limits.map(([id, startedAtMs, requestsPerSecond, ageMs]) => [
    id,
    startedAtMs,
    requestsPerSecond,
    ageMs + waitedMs,
  ]),
  requestCrashes: report.requestCrashes.map(
    ([fingerprint, target, startedAtMs, ageMs, idleMs]) => [
      fingerprint,
      target,
      startedAtMs,
      ageMs + waitedMs,
      idleMs + waitedMs,
    ],
  ),
  answeredRequests: report.answeredRequests.map(([fingerprint, ageMs]) => [
    fingerprint,
    ageMs + waitedMs,
  ]),
  acceptsRemote: false,
  remote: [],
  unchanged: [],
});

/** Adds the events of a report to a collection. */
export const addEvents = (
  collection: ReportedEvents,
  report: ReportedEvents,
): void => {
  for (const field of eventFields) {
    const events: unknown[] = collection[field];
    events.push(...report[field]);
  }
};
