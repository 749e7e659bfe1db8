/** Checks of prompts with a part that ends each engine that begins an answer. */
import type {
  Attempt,
  CrashingPartPeriod,
  RunRecord,
} from '../run/run-record.js';

import { hasNoRecentFault, settlingMs } from './check.js';
import type { Check } from './check.js';

/** The bounds hold from this time after the fifth crash, or the last one. */
const stabilityWindowMs = 3_000;
const bindingCrashCount = 5;

/** Sends of prompts with the part that may follow. */
const maxLaterSends = 3;

/** Fewest sound prompts, in and outside the period, of which the shares are compared. */
const minComparedPrompts = 20;

const okStatus = 200;

/** Time of the fifth crash by the part, or of the last one; undefined without any. */
const findBindingCrashMs = (
  { crashes }: RunRecord,
  { part }: CrashingPartPeriod,
): number | undefined => {
  const ofPart = crashes.filter(crash => crash.part === part);
  return (ofPart[bindingCrashCount - 1] ?? ofPart.at(-1))?.atMs;
};

/** Checks that prompts with a part that crashed five engines are kept from the others. */
export const checkCrashingParts: Check = record => {
  const attempts = new Map(record.attempts.map(item => [item.id, item]));
  return record.crashingPartPeriods.flatMap(period => {
    const crashMs = findBindingCrashMs(record, period);
    if (crashMs === undefined) return [];
    const sends = record.arrivals.filter(
      ({ attempt: id, promptParts, atMs }) => {
        const attempt = attempts.get(id);
        return (
          attempt !== undefined &&
          promptParts.includes(period.part) &&
          atMs > crashMs + stabilityWindowMs &&
          atMs - attempt.lifeStartedAtMs >= settlingMs &&
          hasNoRecentFault(record, attempt.instance, atMs)
        );
      },
    );
    if (sends.length <= maxLaterSends) return [];
    const seen = `${sends.length} sends of prompts with ${period.part}: ${sends.map(({ attempt }) => attempt).join(' ')}`;
    return [
      { promise: 'prompts that crash engines are kept from engines', seen },
    ];
  });
};

const hasBegun = ({ end }: Attempt): boolean =>
  end?.status === okStatus && end.body !== '';

const computeShare = (attempts: readonly Attempt[]): number =>
  attempts.filter(hasBegun).length / Math.max(1, attempts.length);

/** Checks that sound prompts are answered while others crash engines. */
export const checkSoundPrompts: Check = record => {
  const crashingParts = new Set(
    record.crashingPartPeriods.map(({ part }) => part),
  );
  const sound = record.attempts.filter(
    ({ kind, instance, promptParts, resumption, leftAtMs, ...attempt }) =>
      kind === 'stream' &&
      resumption === undefined &&
      leftAtMs === undefined &&
      attempt.sentAtMs - attempt.lifeStartedAtMs >= settlingMs &&
      !promptParts.some(part => crashingParts.has(part)) &&
      hasNoRecentFault(record, instance, attempt.sentAtMs),
  );
  const usual = sound.filter(({ sentAtMs }) =>
    record.faultLog.isFaultFreeAnywhere(sentAtMs - settlingMs, sentAtMs),
  );
  return record.crashingPartPeriods.flatMap(period => {
    const crashMs = findBindingCrashMs(record, period);
    if (crashMs === undefined) return [];
    const fromMs = crashMs + 2 * stabilityWindowMs;
    const meanwhile = sound.filter(
      ({ sentAtMs }) => sentAtMs > fromMs && sentAtMs < period.toMs,
    );
    if (Math.min(meanwhile.length, usual.length) < minComparedPrompts)
      return [];
    const share = computeShare(meanwhile);
    const usualShare = computeShare(usual);
    if (share >= usualShare / 2) return [];
    const seen = `${share.toFixed(2)} of ${meanwhile.length} sound prompts began, ${usualShare.toFixed(2)} otherwise`;
    return [
      { promise: 'sound prompts are answered beside those that crash', seen },
    ];
  });
};
