/** Selects the candidate targets whose costs are computed for a request. */
import type { Prompt } from '../requests/relay-request.js';
import type { TargetState } from '../targets/target-state.js';

/**
 * Numbers of targets drawn at random: from this instance's data centre and from
 * all others.
 */
const localSampleCount = 2;
const remoteSampleCount = 1;

/**
 * Minimum number of cached prompt tokens that makes a target always a
 * candidate.
 */
const minCachedTokens = 512;

/** Parameters of the 32-bit FNV-1a hash. */
const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

const hashText = (text: string): number => {
  let hash = fnvOffset;
  for (let i = 0; i < text.length; i += 1)
    hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
  return hash;
};

/** Finalizer of MurmurHash3: each bit of the result depends on every bit of the input. */
const mixBits = (value: number): number => {
  let hash = value;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
};

/**
 * Weight of a target for a segment; the same at every instance. It is computed for all
 * targets at each placement, so it is no cryptographic hash.
 */
const computeRendezvousWeight = (
  segmentHash: number,
  targetId: string,
): number => mixBits(segmentHash ^ mixBits(hashText(targetId)));

/**
 * Id of the last segment that other requests may share. This is the
 * second-to-last segment, because the last one is specific to the request; with
 * a single segment, it is that one.
 */
const getSharedSegmentId = ({ segments }: Prompt): string | undefined =>
  (segments.at(-2) ?? segments.at(-1))?.id;

/**
 * Returns the engine that should prefill the shared segment when no engine has
 * it cached. Rendezvous hashing makes all instances choose the same engine
 * without communication.
 */
export const findRendezvousTarget = (
  targets: readonly TargetState[],
  prompt: Prompt,
): TargetState | undefined => {
  const segmentId = getSharedSegmentId(prompt);
  if (segmentId === undefined) return undefined;
  let rendezvousTarget: TargetState | undefined;
  let maxWeight = -1;
  const segmentHash = mixBits(hashText(segmentId));
  for (const target of targets) {
    const weight = computeRendezvousWeight(segmentHash, target.record.id);
    if (weight <= maxWeight) continue;
    maxWeight = weight;
    rendezvousTarget = target;
  }
  return rendezvousTarget;
};

/** Parameters for the random choice of candidate targets. */
export interface SamplingOptions {
  /** Data centre of this instance. */
  readonly dataCenter: string;
  /**
   * Returns uniform numbers in [0, 1). Set in large deployments, where many
   * instances work with the same outdated load data: with the best of a few random
   * targets, they do not all choose the same one. Undefined turns sampling off.
   */
  readonly random: (() => number) | undefined;
}

const drawRandomTargets = (
  targets: readonly TargetState[],
  count: number,
  random: () => number,
): TargetState[] => {
  const remaining = [...targets];
  const drawn: TargetState[] = [];
  while (drawn.length < count && remaining.length > 0) {
    drawn.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
  }
  return drawn;
};

/**
 * Returns a few random targets, most of them in the own data centre, or all
 * targets when sampling is off.
 */
export const sampleTargets = (
  targets: readonly TargetState[],
  { dataCenter, random }: SamplingOptions,
): readonly TargetState[] => {
  if (random === undefined) return targets;
  const isLocal = ({ record }: TargetState) => record.dataCenter === dataCenter;
  const localTargets = targets.filter(isLocal);
  const remoteTargets = targets.filter(target => !isLocal(target));
  return [
    ...drawRandomTargets(localTargets, localSampleCount, random),
    ...drawRandomTargets(remoteTargets, remoteSampleCount, random),
  ];
};

/**
 * Returns a few random targets, the rendezvous target and all targets that have
 * at least `minCachedTokens` of the prompt cached; all targets when sampling is
 * off.
 */
export const samplePrefillTargets = (
  targets: readonly TargetState[],
  prompt: Prompt,
  options: SamplingOptions,
): readonly TargetState[] => {
  if (options.random === undefined) return targets;
  const rendezvousTarget = findRendezvousTarget(targets, prompt);
  const rendezvousAndCachingTargets = targets.filter(
    target =>
      target === rendezvousTarget ||
      target.prefixCache.countCachedTokens(prompt.segments) >= minCachedTokens,
  );
  return [
    ...new Set([
      ...rendezvousAndCachingTargets,
      ...sampleTargets(targets, options),
    ]),
  ];
};
