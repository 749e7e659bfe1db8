/** Checks of streams over targets of several software versions. */
import { listEventVersions } from '../run/event-versions.js';
import type { Attempt } from '../run/run-record.js';

import { groupBy, hasNoRecentFault, settlingMs } from './check.js';
import type { Check } from './check.js';

const okStatus = 200;

/** Streams of a run that may hold events of two versions. */
const maxMixedStreams = 2;

/** Checks that streams hold events of one version, over all tries of a caller. */
export const checkStreamVersions: Check = ({ attempts }) => {
  const streams = groupBy(
    attempts.filter(({ kind }) => kind === 'stream'),
    ({ id, resumption }) => resumption?.firstAttempt ?? id,
  );
  const mixedStreams = [...streams].filter(
    ([, tries]) => new Set(tries.flatMap(listEventVersions)).size > 1,
  );
  if (mixedStreams.length <= maxMixedStreams) return [];
  const seen = `${mixedStreams.length} streams: ${mixedStreams.map(([id]) => id).join(' ')}`;
  return [{ promise: 'a stream holds events of one software version', seen }];
};

/** Fewest streams taken up again of which the share that goes on is judged. */
const minResumptions = 12;

/** Fewest targets of a version that serve when a stream of it is taken up. */
const minServingTargets = 2;

const hasBegun = ({ end }: Attempt): boolean =>
  end?.status === okStatus && end.body !== '';

const computeShare = (attempts: readonly Attempt[]): number =>
  attempts.filter(hasBegun).length / Math.max(1, attempts.length);

/** Checks that streams that callers take up again go on about as often as new ones. */
export const checkResumptions: Check = record => {
  const streams = record.attempts.filter(
    ({ kind, instance, lifeStartedAtMs, sentAtMs, endedAtMs }) =>
      kind === 'stream' &&
      // An instance that has just started has not found the others yet.
      sentAtMs - lifeStartedAtMs >= settlingMs &&
      hasNoRecentFault(record, instance, sentAtMs, endedAtMs ?? Infinity),
  );
  const resumed = streams.filter(
    ({ resumption, servingOfVersion = 0 }) =>
      resumption !== undefined && servingOfVersion >= minServingTargets,
  );
  if (resumed.length < minResumptions) return [];
  const resumedShare = computeShare(resumed);
  const newShare = computeShare(
    streams.filter(({ resumption }) => resumption === undefined),
  );
  if (resumedShare >= newShare / 2) return [];
  const seen = `${resumedShare.toFixed(2)} of ${resumed.length} went on, ${newShare.toFixed(2)} of the new ones began`;
  return [{ promise: 'streams that are taken up again go on', seen }];
};
