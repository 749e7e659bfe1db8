/** A crash of a target and the requests that may have caused it. */
import { z } from 'zod';

/** Longest id of a prompt part that is remembered; callers choose the ids. */
const maxPartLength = 128;

/** Bounds of a report, so that a caller's prompts can't make it large. */
const maxPartsPerSuspect = 24;
const maxSuspects = 16;

/** Ids of the parts of a prompt that other prompts may share, in prompt order. */
export type SharedParts = readonly string[];

/** One crash of one incarnation of a target. */
export interface TargetCrash {
  readonly target: string;
  /** Start of the incarnation that crashed, in epoch milliseconds of its clock. */
  readonly startedAtMs: number;
  /** Monotonic milliseconds at which the first connection broke. */
  readonly atMs: number;
  /** Prompts of the requests whose answers had not begun. */
  readonly suspects: readonly SharedParts[];
}

/** Identifies the incarnation of a target. */
export const getIncarnationKey = ({
  target,
  startedAtMs,
}: Pick<TargetCrash, 'target' | 'startedAtMs'>): string =>
  `${target} ${startedAtMs}`;

/**
 * What instances tell each other of a crash: the target, its start, the age of the
 * crash, the time since a request with a part that is refused because of the crash last
 * came (both in milliseconds), and the suspects.
 */
export const reportedCrashSchema = z.tuple([
  z.string(),
  z.number(),
  z.number(),
  z.number(),
  z.array(z.array(z.string())),
]);
export type ReportedCrash = z.infer<typeof reportedCrashSchema>;

/** A prompt part, and the age in milliseconds of the last answer with it. */
export const answeredPartSchema = z.tuple([z.string(), z.number()]);
export type AnsweredPart = z.infer<typeof answeredPartSchema>;

/** Selects the parts that are remembered, in bounded number. */
export const selectSharedParts = (parts: readonly string[]): SharedParts =>
  parts.filter(part => part.length <= maxPartLength).slice(-maxPartsPerSuspect);

/** Adds the suspects that are not listed yet, in bounded number. */
export const mergeSuspects = (
  suspects: readonly SharedParts[],
  added: readonly SharedParts[],
): SharedParts[] => {
  const byContent = new Map(
    [...suspects, ...added].map(parts => [parts.join(' '), parts]),
  );
  return [...byContent.values()].slice(0, maxSuspects);
};
