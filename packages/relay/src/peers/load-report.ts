/** What instances tell each other of their work at the targets. */
import { z } from 'zod';

/** One instance to another: its own news, or the sum of several. */
export const loadReportMethod = 'relay.news';

/** A member of a data centre to the one that gathers the news there. */
export const memberReportMethod = 'relay.report';

/** The gathered news of a data centre to the others' gathering instances. */
export const dataCenterReportMethod = 'relay.data-center-news';

/** Loads of an instance that has gone quiet are not believed longer. */
export const loadReportTtlMs = 1_200;

const promptPartSchema = z.tuple([z.string(), z.number()]);

export const loadReportSchema = z.object({
  from: z.string(),
  /** Configuration version in force at the sender. */
  revision: z.number(),
  /**
   * Target, its unread prompt tokens, running requests, and the milliseconds
   * since the sender heard of it.
   */
  loads: z.array(z.tuple([z.string(), z.number(), z.number(), z.number()])),
  /** Service and the prompt tokens that were ever given out to read. */
  placed: z.array(z.tuple([z.string(), z.number()])),
  /** Target, the prompt parts that it began to read, and the time it needs. */
  read: z.array(z.tuple([z.string(), z.array(promptPartSchema), z.number()])),
  /**
   * Target, mean time that things took there against what was expected, and
   * how many things these were.
   */
  pace: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
  /** Request fingerprint and the target that crashed with it. */
  crashes: z.array(z.tuple([z.string(), z.string()])),
});
export type LoadReport = z.infer<typeof loadReportSchema>;
