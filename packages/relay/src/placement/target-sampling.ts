/** Which targets are weighed for a request, before their costs are. */
import { createHash } from 'node:crypto';

import type { Prompt } from '../requests/relay-request.js';
import type { TargetState } from '../targets/target-state.js';

/** Targets sampled at random in the own data centre and in the others. */
const localSampleCount = 2;
const remoteSampleCount = 1;

/** Fewer kept tokens do not make a target worth weighing. */
const minCachedTokens = 512;

/** A number that is the same at every instance. */
const computeRendezvousWeight = (part: string, target: string): string =>
  createHash('sha1').update(`${part} ${target}`).digest('hex');

/** The part that other requests share most of the prompt with. */
const getSharedSegmentId = ({ segments: parts }: Prompt): string | undefined =>
  (parts.at(-2) ?? parts.at(-1))?.id;

/**
 * The engine at which the shared part is read when none keeps it: instances
 * that have not heard of each other's choice choose the same one (rendezvous
 * hashing).
 */
export const findRendezvousTarget = (
  targets: readonly TargetState[],
  prompt: Prompt,
): TargetState | undefined => {
  const part = getSharedSegmentId(prompt);
  if (part === undefined) return undefined;
  let home: TargetState | undefined;
  let most = '';
  for (const target of targets) {
    const weight = computeRendezvousWeight(part, target.record.id);
    if (weight <= most) continue;
    most = weight;
    home = target;
  }
  return home;
};

export interface SamplingOptions {
  /** Data centre of this instance. */
  readonly dataCenter: string;
  /**
   * Uniform numbers. Given when many instances choose from the same late
   * picture: the best of a few sampled targets spares them one common choice.
   */
  readonly random: (() => number) | undefined;
}

const drawRandomTargets = (
  targets: readonly TargetState[],
  count: number,
  random: () => number,
): TargetState[] => {
  const left = [...targets];
  const taken: TargetState[] = [];
  while (taken.length < count && left.length > 0) {
    taken.push(...left.splice(Math.floor(random() * left.length), 1));
  }
  return taken;
};

/** A few of the targets, most of them near; all when nothing is sampled. */
export const sampleTargets = (
  targets: readonly TargetState[],
  { dataCenter, random }: SamplingOptions,
): readonly TargetState[] => {
  if (random === undefined) return targets;
  const isNear = ({ record }: TargetState) => record.dataCenter === dataCenter;
  const near = targets.filter(isNear);
  const far = targets.filter(target => !isNear(target));
  return [
    ...drawRandomTargets(near, localSampleCount, random),
    ...drawRandomTargets(far, remoteSampleCount, random),
  ];
};

/** A few sampled targets, the home, and all that keep part of the prompt. */
export const samplePrefillTargets = (
  targets: readonly TargetState[],
  prompt: Prompt,
  options: SamplingOptions,
): readonly TargetState[] => {
  if (options.random === undefined) return targets;
  const home = findRendezvousTarget(targets, prompt);
  const kept = targets.filter(
    target =>
      target === home ||
      target.prefixCache.countCachedTokens(prompt.segments) >= minCachedTokens,
  );
  return [...new Set([...kept, ...sampleTargets(targets, options)])];
};
