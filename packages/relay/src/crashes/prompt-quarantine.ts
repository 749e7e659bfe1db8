/**
 * Keeps requests away from targets if a part of their prompts crashes each target that
 * begins to answer them. Instances tell each other of crashes and of answers, so that
 * all come to the same result.
 */
import { createHash } from 'node:crypto';

import type { Log } from '@medlarlever/core';
import { LRUCache } from 'lru-cache';

import { findCrashCauses } from './crash-cause.js';
import type { CrashCause } from './crash-cause.js';
import type { Refusal } from './refusal.js';
import { RecordedCrashes, createCrashReport } from './recorded-crashes.js';
import type { RecordedCrash } from './recorded-crashes.js';
import { getIncarnationKey } from './target-crash.js';
import type {
  AnsweredPart,
  ReportedCrash,
  SharedParts,
  TargetCrash,
} from './target-crash.js';

/** Parts whose last answers are remembered, and for how long. */
const maxAnsweredParts = 20_000;
const answerTtlMs = 600_000;

/**
 * Time from the last crash for which a part is refused that was answered before, and
 * may only be in every prompt; doubles with each further crash.
 */
const answeredPartRefusalMs = 5_000;
const firstDoublingCrashCount = 5;

/** Refuted crashes that are remembered, longer than instances report them. */
const maxRefuted = 128;
const refutedTtlMs = 60_000;

/** New crashes are repeated for this long, because reports may be lost. */
const repetitionMs = 3_000;

/** Crashes with a known cause are reported at this interval, to instances that start. */
const causeReportIntervalMs = 900;

/** Number of crashes that are reported of each cause: enough to come to it again. */
const reportedCrashesPerCause = 6;

/**
 * An answer of the target this long after its supposed crash shows that there was none;
 * answers under way then arrive sooner.
 */
const refutationMarginMs = 200;

/** A target that answers later than this may have started again. */
const refutationWindowMs = 1_000;

/** Dependencies of {@link PromptQuarantine}. */
export interface PromptQuarantineOptions {
  readonly log: Log;
  /**
   * Returns the time in milliseconds since this instance last got an answer from the
   * incarnation of the target; undefined if it got none.
   */
  readonly getAnswerAgeMs: (
    incarnation: Pick<TargetCrash, 'target' | 'startedAtMs'>,
  ) => number | undefined;
}

/** Crashes of targets, their causes, and the requests that are refused. */
export class PromptQuarantine {
  readonly #lastAnswerMs = new LRUCache<string, number>({
    max: maxAnsweredParts,
    ttl: answerTtlMs,
  });
  readonly #crashes = new RecordedCrashes();
  /** Incarnations that were reported as crashed and have answered since. */
  readonly #refuted = new LRUCache<string, number>({
    max: maxRefuted,
    ttl: refutedTtlMs,
  });
  /** Parts that were in a prompt at a crash. */
  #suspectParts = new Set<string>();
  #unreportedAnswers = new Set<string>();
  #hasUnreportedCrash = false;
  /** True if evidence has come since the causes were found. */
  #isOutdated = false;
  #causes: readonly CrashCause[] = [];
  #lastCauseReportMs = -Infinity;

  constructor(private readonly options: PromptQuarantineOptions) {}

  /** Number of causes that are known now. */
  get causeCount(): number {
    return this.#causes.length;
  }

  /** True if the other instances are to be told of a crash at once. */
  get hasNews(): boolean {
    return this.#hasUnreportedCrash;
  }

  /** Records a crash that this instance has seen. */
  recordCrash(crash: TargetCrash): void {
    this.#addCrash({ crash, isOwn: true, lastRefusalMs: -Infinity });
    this.#hasUnreportedCrash = true;
    this.#update();
  }

  /** Records an answer to a prompt with the parts, after which the target lived on. */
  recordAnswer(parts: SharedParts): void {
    const nowMs = performance.now();
    for (const part of parts) {
      this.#lastAnswerMs.set(part, nowMs);
      if (this.#suspectParts.has(part)) this.#unreportedAnswers.add(part);
    }
    if (parts.some(part => this.#suspectParts.has(part)))
      this.#isOutdated = true;
  }

  /** Returns why a prompt with the parts is refused; undefined if it is not. */
  findCause(parts: SharedParts): CrashCause | undefined {
    if (this.#isOutdated) this.#update();
    const nowMs = performance.now();
    const cause = this.#causes.find(
      candidate =>
        isInForce(candidate, nowMs) &&
        candidate.parts.every(part => parts.includes(part)),
    );
    if (cause !== undefined) this.#crashes.recordRefusal(cause.crashes, nowMs);
    return cause;
  }

  /**
   * Lists what the other instances are to be told of crashes. Those with a known cause
   * are repeated for instances that start, if `includesCauses`.
   */
  listCrashes(includesCauses: boolean): ReportedCrash[] {
    this.#update();
    this.#hasUnreportedCrash = false;
    const nowMs = performance.now();
    const recent = this.#crashes
      .list()
      .filter(({ isOwn, crash }) => isOwn && nowMs - crash.atMs <= repetitionMs)
      .map(entry => createCrashReport(entry, entry.crash.suspects, nowMs));
    const isCauseReportDue =
      nowMs - this.#lastCauseReportMs >= causeReportIntervalMs;
    if (!includesCauses || !isCauseReportDue) return recent;
    this.#lastCauseReportMs = nowMs;
    return [...recent, ...this.#listCauses(nowMs)];
  }

  /**
   * Lists the parts that are refused for good. One that was answered before is refused only
   * for a while.
   */
  listRefusals(): Refusal[] {
    this.#update();
    const nowMs = performance.now();
    return this.#causes
      .filter(({ wasAnswered }) => !wasAnswered)
      .map(cause => {
        const records = this.#listRecords(cause);
        return {
          key: `parts ${hashParts(cause.parts)}`,
          isOwn: records.some(({ isOwn }) => isOwn),
          requestCrashes: [],
          targetCrashes: records.map(record =>
            createCrashReport(record, [cause.parts], nowMs),
          ),
        };
      });
  }

  /** Lists the answers to prompts that are suspected, which are reported once. */
  listAnswers(): AnsweredPart[] {
    const nowMs = performance.now();
    const answers = [...this.#unreportedAnswers].map((part): AnsweredPart => {
      const ageMs = nowMs - (this.#lastAnswerMs.get(part) ?? -Infinity);
      return [part, Math.round(ageMs)];
    });
    this.#unreportedAnswers.clear();
    return answers.filter(([, ageMs]) => Number.isFinite(ageMs));
  }

  /** Lists the reported crashes after which the target has answered. */
  listRefuted(): string[] {
    const nowMs = performance.now();
    return [...this.#refuted]
      .filter(([, refutedAtMs]) => nowMs - refutedAtMs <= repetitionMs)
      .map(([key]) => key);
  }

  /** Applies what another instance has reported. */
  apply(report: {
    readonly crashes: readonly ReportedCrash[];
    readonly answers: readonly AnsweredPart[];
    readonly refuted: readonly string[];
  }): void {
    const { crashes, answers, refuted } = report;
    if (crashes.length + answers.length + refuted.length === 0) return;
    const nowMs = performance.now();
    for (const [part, ageMs] of answers) {
      const atMs = nowMs - ageMs;
      if (atMs > this.#getLastAnswerMs(part))
        this.#lastAnswerMs.set(part, atMs);
    }
    for (const key of refuted) this.#refute(key);
    for (const [target, startedAtMs, ageMs, idleMs, suspects] of crashes) {
      const crash = { target, startedAtMs, atMs: nowMs - ageMs, suspects };
      const lastRefusalMs = nowMs - idleMs;
      this.#addCrash({ crash, isOwn: false, lastRefusalMs });
    }
    this.#update();
  }

  #getLastAnswerMs(part: string): number {
    return this.#lastAnswerMs.get(part) ?? -Infinity;
  }

  #addCrash(record: RecordedCrash): void {
    if (this.#refuted.has(getIncarnationKey(record.crash))) return;
    this.#crashes.add(record, this.#causes);
  }

  #refute(key: string): void {
    if (this.#refuted.has(key)) return;
    this.#refuted.set(key, performance.now());
    if (!this.#crashes.delete(key)) return;
    this.options.log.writeEvent('target_crash_refuted', { target: key });
  }

  /** Brings the causes up to date with the crashes and answers. */
  #update(): void {
    this.#isOutdated = false;
    if (this.#crashes.size === 0 && this.#causes.length === 0) return;
    const nowMs = performance.now();
    this.#refuteByAnswers(nowMs);
    this.#crashes.forgetOld(this.#causes, nowMs);
    const crashes = this.#crashes.list().map(({ crash }) => crash);
    this.#updateSuspectParts(crashes);
    const causes = findCrashCauses(crashes, part =>
      this.#getLastAnswerMs(part),
    );
    this.#logChanges(causes);
    this.#causes = causes;
  }

  #refuteByAnswers(nowMs: number): void {
    for (const { crash } of this.#crashes.list()) {
      const crashAgeMs = nowMs - crash.atMs;
      if (crashAgeMs > refutationWindowMs) continue;
      const answerAgeMs = this.options.getAnswerAgeMs(crash) ?? Infinity;
      if (answerAgeMs < crashAgeMs - refutationMarginMs)
        this.#refute(getIncarnationKey(crash));
    }
  }

  /** Parts that become suspect were perhaps answered here, which the others must know. */
  #updateSuspectParts(crashes: readonly TargetCrash[]): void {
    const parts = new Set(crashes.flatMap(({ suspects }) => suspects.flat()));
    for (const part of parts) {
      if (!this.#suspectParts.has(part) && this.#lastAnswerMs.has(part))
        this.#unreportedAnswers.add(part);
    }
    this.#suspectParts = parts;
  }

  #logChanges(causes: readonly CrashCause[]): void {
    const before = new Set(this.#causes.map(getCauseKey));
    const after = new Set(causes.map(getCauseKey));
    for (const cause of causes) {
      if (before.has(getCauseKey(cause))) continue;
      this.options.log.writeEvent('prompt_part_refused', {
        parts: cause.parts,
        targets: cause.crashes.map(({ target }) => target),
        answered_before: cause.wasAnswered,
      });
    }
    for (const cause of this.#causes) {
      if (!after.has(getCauseKey(cause)))
        this.options.log.writeEvent('prompt_part_accepted', {
          parts: cause.parts,
        });
    }
  }

  #listCauses(nowMs: number): ReportedCrash[] {
    return this.#causes.flatMap(cause =>
      this.#listRecords(cause).map(record =>
        createCrashReport(record, [cause.parts], nowMs),
      ),
    );
  }

  /** The newest crashes of a cause. */
  #listRecords({ crashes }: CrashCause): RecordedCrash[] {
    return crashes
      .slice(-reportedCrashesPerCause)
      .flatMap(crash => this.#crashes.find(crash) ?? []);
  }
}

/** Parts may be longer than a row's key. */
const hashParts = (parts: SharedParts): string =>
  createHash('sha1').update(parts.join(' ')).digest('hex');

const getCauseKey = ({ parts }: CrashCause): string => parts.join(' ');

const isInForce = (
  { wasAnswered, crashes }: CrashCause,
  nowMs: number,
): boolean => {
  if (!wasAnswered) return true;
  const lastCrashMs = crashes.at(-1)?.atMs ?? -Infinity;
  const doublings = crashes.length - firstDoublingCrashCount;
  return nowMs - lastCrashMs < answeredPartRefusalMs * 2 ** doublings;
};
