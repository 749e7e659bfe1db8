/** Chooses the targets of a request by their load and prefix caches. */
import type { TargetState } from '../targets/target-state.js';

import { listCopySources } from './copy-sources.js';
import type { PlacementOptions } from './placement-options.js';
import { createPrefillCandidate } from './prefill-candidate.js';
import type {
  CandidateOptions,
  PrefillCandidate,
} from './prefill-candidate.js';
import { prefillOverheadMs } from './prefill-speed.js';
import {
  computeConnectionPenalty,
  filterAnsweringTargets,
  filterUsableTargets,
  findCheapest,
} from './target-filters.js';
import {
  sampleTargets,
  samplePrefillTargets,
  findRendezvousTarget,
} from './target-sampling.js';

/** Prefill speed of a decode engine relative to a prefill engine. */
const colocatedPrefillSpeedFactor = 0.5;

/**
 * Longest prefill queue of a decode engine that has running requests. A prefill
 * there delays the tokens of the streams that run on the same engine.
 */
const maxColocatedPrefillMs = 120;

/**
 * Milliseconds from the end of a prefill on another engine to the first event:
 * transfer of the KV cache and one decode step.
 */
export const kvTransferMs = 30;

/**
 * Cost added to a decode engine in another data centre, in running requests: it
 * must be less loaded by more than this number to be chosen.
 */
const remoteDecodePenaltyRequests = 2;

/**
 * Share of the prefill time that is deducted from the cost of the engine chosen
 * by rendezvous hashing.
 */
const rendezvousDiscountShare = 0.25;

/** Engines chosen for the prefill and the decoding of a generation. */
export interface Placement {
  /** Undefined when the decode engine also does the prefill. */
  readonly prefillTarget: TargetState | undefined;
  readonly decodeTarget: TargetState;
  /** Engine from which cached prompt segments are copied before the prefill. */
  readonly copySource: TargetState | undefined;
  /** Prompt tokens to compute, without cached and copied ones. */
  readonly prefillTokens: number;
  /** Expected time from now to the first event. */
  readonly expectedFirstEventMs: number;
}

/**
 * Weighted load of a decode engine, in running requests. A thousand queued
 * prompt tokens count as one request; a remote data centre adds a penalty.
 */
const computeDecodeCost = (
  target: TargetState,
  options: PlacementOptions,
): number => {
  const isRemote = target.record.dataCenter !== options.dataCenter;
  const prefillLoad = target.pendingPrefillTokens * 0.001;
  return (
    (target.activeRequestCount + prefillLoad) * target.slowness +
    computeConnectionPenalty(target, options) +
    (isRemote ? remoteDecodePenaltyRequests : 0)
  );
};

const hasFreeSlot = (target: TargetState, options: PlacementOptions): boolean =>
  target.activeRequestCount < options.slots;

/**
 * Adds the delay that a prefill causes to the running streams of a decode engine:
 * each stream pauses for the duration of the prefill.
 */
const addDecodeInterferenceCost = (
  candidate: PrefillCandidate,
): PrefillCandidate => {
  const { target, cost, prefillMs } = candidate;
  return { ...candidate, cost: cost + target.activeRequestCount * prefillMs };
};

/**
 * Returns the cheapest decode engine for a prefill. Engines with running requests
 * are left out when their prefill queue would exceed `maxColocatedPrefillMs`.
 */
const findColocatedPrefill = (
  decodeTargets: readonly TargetState[],
  options: CandidateOptions,
): PrefillCandidate | undefined => {
  const maxPendingTokens =
    maxColocatedPrefillMs *
    options.prefillSpeed.tokensPerMs *
    colocatedPrefillSpeedFactor;
  const candidates = decodeTargets
    .map(target =>
      createPrefillCandidate(target, options, colocatedPrefillSpeedFactor),
    )
    .filter(
      ({ target, prefillTokens }) =>
        target.activeRequestCount === 0 ||
        target.pendingPrefillTokens + prefillTokens <= maxPendingTokens,
    )
    .map(addDecodeInterferenceCost);
  return findCheapest(candidates);
};

const createColocatedPlacement = (candidate: PrefillCandidate): Placement => ({
  prefillTarget: undefined,
  decodeTarget: candidate.target,
  copySource: candidate.copySource,
  prefillTokens: candidate.prefillTokens,
  expectedFirstEventMs: candidate.prefillMs + prefillOverheadMs,
});

/** Decode engines with room and a free slot, or with room when no slot is free. */
const listDecodeTargets = (
  options: PlacementOptions,
): readonly TargetState[] => {
  const decodeTargets = filterAnsweringTargets(options).filter(
    target =>
      target.record.role !== 'prefill' &&
      options.room?.hasRoom(target, 'decode') !== false,
  );
  const freeTargets = decodeTargets.filter(target =>
    hasFreeSlot(target, options),
  );
  return freeTargets.length > 0 ? freeTargets : decodeTargets;
};

const findLeastLoadedDecodeTarget = (
  decodeTargets: readonly TargetState[],
  options: PlacementOptions,
): TargetState | undefined =>
  findCheapest(
    decodeTargets.map(target => ({
      target,
      cost: computeDecodeCost(target, options),
    })),
  )?.target;

/**
 * Chooses the decode engine for a prompt that a prefill engine has processed;
 * undefined when no engine is usable.
 */
export const chooseDecodeTarget = (
  options: PlacementOptions,
): TargetState | undefined =>
  findLeastLoadedDecodeTarget(
    sampleTargets(listDecodeTargets(options), options),
    options,
  );

/**
 * Returns the cheapest prefill engine. The engine chosen by rendezvous hashing
 * gets a discount, so that a shared segment is cached at few engines.
 */
const findDedicatedPrefill = (
  targets: readonly TargetState[],
  options: CandidateOptions,
): PrefillCandidate | undefined => {
  const prefillTargets = targets.filter(
    target =>
      target.record.role === 'prefill' &&
      options.room?.hasRoom(target, 'prefill') !== false,
  );
  const rendezvousTarget = findRendezvousTarget(prefillTargets, options.prompt);
  const candidates = samplePrefillTargets(
    prefillTargets,
    options.prompt,
    options,
  )
    .map(target => createPrefillCandidate(target, options, 1))
    .map(candidate => {
      const { target, prefillTokens, cost } = candidate;
      if (target !== rendezvousTarget) return candidate;
      const prefillMs = prefillTokens / options.prefillSpeed.tokensPerMs;
      return { ...candidate, cost: cost - rendezvousDiscountShare * prefillMs };
    });
  return findCheapest(candidates);
};

/**
 * Returns the cheapest placement, which prefills at a prefill engine or at the
 * decode engine itself; undefined when there is no decode engine.
 */
export const placeGeneration = (
  placementOptions: PlacementOptions,
): Placement | undefined => {
  const options = {
    ...placementOptions,
    copySources: listCopySources(placementOptions),
  };
  const targets = filterUsableTargets(options);
  const decodeTargets = sampleTargets(listDecodeTargets(options), options);
  const dedicated = findDedicatedPrefill(targets, options);
  const colocated = findColocatedPrefill(decodeTargets, options);
  const decodeTarget = findLeastLoadedDecodeTarget(decodeTargets, options);
  if (decodeTarget === undefined) return undefined;
  if (dedicated === undefined) {
    const target = colocated?.target ?? decodeTarget;
    return createColocatedPlacement(
      createPrefillCandidate(target, options, colocatedPrefillSpeedFactor),
    );
  }
  if (
    colocated !== undefined &&
    colocated.cost < dedicated.cost + kvTransferMs
  ) {
    return createColocatedPlacement(colocated);
  }
  return {
    prefillTarget: dedicated.target,
    decodeTarget,
    copySource: dedicated.copySource,
    prefillTokens: dedicated.prefillTokens,
    expectedFirstEventMs:
      dedicated.prefillMs + prefillOverheadMs + kvTransferMs,
  };
};
