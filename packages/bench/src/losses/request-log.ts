/** Reads the ends of requests from the log lines of instances. */
import { z } from 'zod';

/** End of one request as the instance that served it logged it; times in milliseconds. */
const requestEndSchema = z.object({
  name: z.enum(['request_answered', 'request_ended']),
  route: z.string().default(''),
  outcome: z.string(),
  first_ms: z.number().default(0),
  sends: z.number().default(0),
  /** Duration of the prefill at another engine. */
  read_ms: z.number().optional(),
  /** Expected time to the first event when the request was placed. */
  expected_ms: z.number().optional(),
  /** Prefill engine; absent if the decode engine read the prompt. */
  prefill: z.string().optional(),
  /** Prompt tokens to compute; absent for requests without a prompt. */
  tokens: z.number().optional(),
});

/** Lines that a rate limit kept out of the log. */
const droppedLinesSchema = z.object({
  name: z.literal('log_dropped'),
  lines: z.number(),
});

/** A request that has ended, with the time of the log line in seconds. */
export type RequestEnd = z.infer<typeof requestEndSchema> & {
  readonly atS: number;
};

/** What the log says of requests. */
export interface RequestLog {
  readonly ends: readonly RequestEnd[];
  /** Lines that are missing, so that counts are those of a sample. */
  readonly droppedLines: number;
}

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Reads lines of the form `SECONDS INSTANCE JSON`; others are passed over, as logs are cut
 * off anywhere.
 */
export const readRequestLog = (lines: Iterable<string>): RequestLog => {
  const ends: RequestEnd[] = [];
  let droppedLines = 0;
  for (const line of lines) {
    const match = /^\s*(-?[\d.]+)\s+\S+\s+(\{.*)$/.exec(line);
    if (match === null) continue;
    const event = parseJson(match[2] ?? '');
    const end = requestEndSchema.safeParse(event);
    if (end.success) ends.push({ ...end.data, atS: Number(match[1]) });
    else droppedLines += droppedLinesSchema.safeParse(event).data?.lines ?? 0;
  }
  return { ends, droppedLines };
};
