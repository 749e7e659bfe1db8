/**
 * Decides which part of a prompt crashes targets, from the crashes and the answers that
 * there were. All requests at a target end with it, so that most suspects of a crash
 * are innocent.
 */
import type { SharedParts, TargetCrash } from './target-crash.js';

/** Crashes that a part without any answer must have in common to be held responsible. */
const minCrashCount = 3;

/** The same for a part that was answered before: it may just be in every prompt. */
const minAnsweredCrashCount = 5;

/**
 * Crashes in quicker succession may have a common cause outside the targets, like a
 * loss of power.
 */
const simultaneousMs = 250;

/** So many simultaneous crashes with one part are no coincidence. */
const minSimultaneousCrashCount = 4;

/** Parts of a prompt that crash targets, and the crashes that show it. */
export interface CrashCause {
  /**
   * The part, and those that came with it each time, so that any of them may be the
   * one. Only a request with all of them is held to crash targets.
   */
  readonly parts: SharedParts;
  /** Crashes since the last answer with the part, in order of time. */
  readonly crashes: readonly TargetCrash[];
  /** True if there was an answer with the part before the first of the crashes. */
  readonly wasAnswered: boolean;
}

/**
 * Returns the monotonic milliseconds of the last answer with the part; -Infinity if
 * none is known.
 */
export type AnswerTime = (part: string) => number;

/**
 * Lists the causes of the crashes: parts that were never answered first, and then those
 * that explain most crashes.
 */
export const findCrashCauses = (
  crashes: readonly TargetCrash[],
  getLastAnswerMs: AnswerTime,
): CrashCause[] => {
  const causes: CrashCause[] = [];
  let unexplained = crashes;
  for (;;) {
    const cause = findMainCause(unexplained, getLastAnswerMs);
    if (cause === undefined) return causes;
    causes.push(cause);
    unexplained = unexplained.filter(crash => !cause.crashes.includes(crash));
  }
};

const findMainCause = (
  crashes: readonly TargetCrash[],
  getLastAnswerMs: AnswerTime,
): CrashCause | undefined => {
  const convincing = listCandidates(crashes, getLastAnswerMs).filter(
    isConvincing,
  );
  const [main] = convincing
    .filter(candidate => !convincing.some(other => isPartOf(other, candidate)))
    .sort(compareCandidates);
  if (main === undefined) return undefined;
  return {
    parts: listInseparableParts(main, getLastAnswerMs),
    crashes: main.crashes,
    wasAnswered: wasAnswered(main),
  };
};

interface Candidate {
  readonly part: string;
  /** Crashes since the last answer, in order of time. */
  readonly crashes: readonly TargetCrash[];
  /** Suspected prompts of these crashes with the part. */
  readonly prompts: readonly SharedParts[];
  readonly lastAnswerMs: number;
}

const wasAnswered = ({ lastAnswerMs }: Candidate): boolean =>
  lastAnswerMs > -Infinity;

/**
 * True if all suspected prompts with the first part also have the second one, which is
 * in further ones: it may just be common.
 */
const isPartOf = (specific: Candidate, common: Candidate): boolean =>
  specific.prompts.length < common.prompts.length &&
  specific.prompts.every(parts => parts.includes(common.part));

const compareCandidates = (a: Candidate, b: Candidate): number => {
  if (wasAnswered(a) !== wasAnswered(b)) return wasAnswered(a) ? 1 : -1;
  if (a.crashes.length !== b.crashes.length)
    return b.crashes.length - a.crashes.length;
  const morePrompts = a.prompts.length - b.prompts.length;
  if (morePrompts !== 0) return morePrompts;
  return a.lastAnswerMs < b.lastAnswerMs ? -1 : 1;
};

const listCandidates = (
  crashes: readonly TargetCrash[],
  getLastAnswerMs: AnswerTime,
): Candidate[] => {
  const candidates = new Map<
    string,
    Candidate & { crashes: TargetCrash[]; prompts: SharedParts[] }
  >();
  for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    for (const prompt of crash.suspects) {
      for (const part of new Set(prompt)) {
        const lastAnswerMs = getLastAnswerMs(part);
        if (lastAnswerMs > crash.atMs) continue;
        const candidate = candidates.get(part) ?? {
          part,
          crashes: [],
          prompts: [],
          lastAnswerMs,
        };
        candidates.set(part, candidate);
        candidate.prompts.push(prompt);
        if (candidate.crashes.at(-1) !== crash) candidate.crashes.push(crash);
      }
    }
  }
  return [...candidates.values()];
};

const isConvincing = (candidate: Candidate): boolean => {
  const { crashes } = candidate;
  const minCount = wasAnswered(candidate)
    ? minAnsweredCrashCount
    : minCrashCount;
  if (crashes.length < minCount) return false;
  const isOneIncident = crashes.every(
    ({ atMs }, i) => atMs - (crashes[i - 1]?.atMs ?? atMs) <= simultaneousMs,
  );
  return !isOneIncident || crashes.length >= minSimultaneousCrashCount;
};

/**
 * Lists the parts that were in every prompt with the candidate's and are no less
 * suspect.
 */
const listInseparableParts = (
  candidate: Candidate,
  getLastAnswerMs: AnswerTime,
): SharedParts => {
  const { part, prompts } = candidate;
  const [firstPrompt = [part]] = prompts;
  return firstPrompt.filter(
    other =>
      other === part ||
      (prompts.every(parts => parts.includes(other)) &&
        getLastAnswerMs(other) <= candidate.lastAnswerMs),
  );
};
