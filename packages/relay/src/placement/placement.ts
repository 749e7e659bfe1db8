/** Chooses the targets of a request from what is known of their load. */
import type { Prompt } from '../requests/relay-request.js';
import type { TargetState } from '../targets/target-state.js';

import {
  sampleTargets,
  samplePrefillTargets,
  findRendezvousTarget,
} from './target-sampling.js';
import type { SamplingOptions } from './target-sampling.js';
import { prefillOverheadMs } from './prefill-speed.js';
import type { PrefillSpeed } from './prefill-speed.js';

/** A decode engine reads prompts at this part of a prefill engine's speed. */
const colocatedPrefillSpeedFactor = 0.5;

/**
 * Reading in place stretches the gaps of the streams beside it, so a decode
 * engine with streams gets no more prompt tokens than it reads in this time.
 */
const maxColocatedPrefillMs = 120;

/** From the handed over prompt to the first event: transfer and a step. */
export const kvTransferMs = 30;

/** Running requests that a decode engine of another data centre must save. */
const remoteDecodePenaltyRequests = 2;

/** Time that a prefill engine of another data centre must save. */
const remotePrefillPenaltyMs = 12;

/** Fewer tokens are read sooner than copied from another engine. */
const minCopiedTokens = 512;

/** Time of a copy beside the transfer itself. */
const copyOverheadMs = 10;

/**
 * A copy crowds other parts out of the engine's memory: its price against
 * reading the tokens, where 1 would forbid copies.
 */
const copyCostFactor = 0.5;

/** Part of the reading time by which a prompt's home may be the dearer one. */
const rendezvousDiscountShare = 0.25;

/** Where a generation's prompt is read and its answer made. */
export interface Placement {
  /** Absent when the prompt is read where the answer is made. */
  readonly prefillTarget: TargetState | undefined;
  readonly decodeTarget: TargetState;
  /** Engine that keeps more of the prompt than the one that reads it. */
  readonly findCopySource: TargetState | undefined;
  /** Prompt tokens that are left to read. */
  readonly prefillTokens: number;
  /** Expected time to the first event. */
  readonly expectedFirstEventMs: number;
}

export interface PlacementOptions extends SamplingOptions {
  readonly targets: readonly TargetState[];
  /** Engines that take no requests any more, but give copies. */
  readonly leavingTargets: readonly TargetState[];
  readonly prompt: Prompt;
  readonly prefillSpeed: PrefillSpeed;
  readonly slots: number;
  /** Time to copy the memory of a token from another engine. */
  readonly transferMsPerToken: number;
  /** Targets that are not to be tried again. */
  readonly excluded: ReadonlySet<TargetState>;
  /** Data centres that seem to be out of reach. */
  readonly unreached: ReadonlySet<string>;
}

interface PrefillCandidate {
  readonly target: TargetState;
  readonly copySource: TargetState | undefined;
  readonly prefillTokens: number;
  readonly prefillMs: number;
  readonly cost: number;
}

/** Tokens of the prompt that the target has to read. */
const countPrefillTokens = (target: TargetState, prompt: Prompt): number =>
  Math.max(
    1,
    prompt.tokens - target.prefixCache.countCachedTokens(prompt.segments),
  );

/** Trusted targets that were not tried; without any, those not trusted. */
const filterUsableTargets = ({
  targets,
  excluded,
  unreached,
}: Pick<
  PlacementOptions,
  'targets' | 'excluded' | 'unreached'
>): TargetState[] => {
  const allowed = targets.filter(
    target => !excluded.has(target) && !target.isChangingRole,
  );
  const trusted = allowed.filter(
    target => !target.isAvoided && !unreached.has(target.record.dataCenter),
  );
  return trusted.length > 0 ? trusted : allowed;
};

const findCheapest = <T extends { readonly cost: number }>(
  candidates: readonly T[],
): T | undefined => {
  let chosen: T | undefined;
  for (const candidate of candidates) {
    if (chosen === undefined || candidate.cost < chosen.cost) {
      chosen = candidate;
    }
  }
  return chosen;
};

/** The engine that keeps most of the prompt, if that is worth a copy. */
const copySource = (
  target: TargetState,
  options: PlacementOptions,
): TargetState | undefined => {
  const { prompt } = options;
  const own = target.prefixCache.countCachedTokens(prompt.segments);
  const sources = [...filterUsableTargets(options), ...options.leavingTargets]
    .filter(other => other !== target)
    .map(other => {
      const tokens =
        other.prefixCache.countCopyableTokens(prompt.segments) - own;
      const remote = other.record.dataCenter !== target.record.dataCenter;
      return { other, tokens, cost: (remote ? 1 : 0) - tokens };
    })
    .filter(({ tokens }) => tokens >= minCopiedTokens);
  return findCheapest(sources)?.other;
};

const createPrefillCandidate = (
  target: TargetState,
  options: PlacementOptions,
  speedFactor: number,
): PrefillCandidate => {
  const { prompt, prefillSpeed: speed, transferMsPerToken } = options;
  const copyFrom = copySource(target, options);
  const own = countPrefillTokens(target, prompt);
  const copyable =
    copyFrom?.prefixCache.countCopyableTokens(prompt.segments) ?? 0;
  const tokens = Math.min(own, Math.max(1, prompt.tokens - copyable));
  const copyMs =
    copyFrom === undefined
      ? 0
      : copyOverheadMs + (own - tokens) * transferMsPerToken;
  const msPerToken = target.slowness / speedFactor / speed.tokensPerMs;
  const readMs = (target.pendingPrefillTokens + tokens) * msPerToken + copyMs;
  const crowdingMs = copyCostFactor * (own - tokens) * msPerToken;
  const remote = target.record.dataCenter !== options.dataCenter;
  const remoteMs = remote ? remotePrefillPenaltyMs : 0;
  const cost = readMs + crowdingMs + remoteMs;
  return {
    target,
    copySource: copyFrom,
    prefillTokens: tokens,
    prefillMs: readMs,
    cost,
  };
};

/** Least loaded first; one of this data centre when about equal. */
const computeDecodeCost = (
  target: TargetState,
  options: PlacementOptions,
): number => {
  const remote = target.record.dataCenter !== options.dataCenter;
  const reading = target.pendingPrefillTokens * 0.001;
  return (
    (target.activeRequestCount + reading) * target.slowness +
    (remote ? remoteDecodePenaltyRequests : 0)
  );
};

const hasFreeSlot = (target: TargetState, options: PlacementOptions): boolean =>
  target.activeRequestCount < options.slots;

/**
 * Every stream of a decode engine stands still while a prompt is read there:
 * each of them loses the time that the reading takes.
 */
const addDecodeInterferenceCost = (
  candidate: PrefillCandidate,
): PrefillCandidate => {
  const { target, cost, prefillMs: readMs } = candidate;
  return { ...candidate, cost: cost + target.activeRequestCount * readMs };
};

const findColocatedPrefill = (
  decoders: readonly TargetState[],
  options: PlacementOptions,
): PrefillCandidate | undefined => {
  const most =
    maxColocatedPrefillMs *
    options.prefillSpeed.tokensPerMs *
    colocatedPrefillSpeedFactor;
  const candidates = decoders
    .map(target =>
      createPrefillCandidate(target, options, colocatedPrefillSpeedFactor),
    )
    .filter(
      ({ target, prefillTokens: tokens }) =>
        target.activeRequestCount === 0 ||
        target.pendingPrefillTokens + tokens <= most,
    )
    .map(addDecodeInterferenceCost);
  return findCheapest(candidates);
};

const createColocatedPlacement = (candidate: PrefillCandidate): Placement => ({
  prefillTarget: undefined,
  decodeTarget: candidate.target,
  findCopySource: candidate.copySource,
  prefillTokens: candidate.prefillTokens,
  expectedFirstEventMs: candidate.prefillMs + prefillOverheadMs,
});

/** Decode engines that take another request, or all when every one is full. */
const listDecodeTargets = (
  targets: readonly TargetState[],
  options: PlacementOptions,
): readonly TargetState[] => {
  const all = targets.filter(({ record }) => record.role !== 'prefill');
  const withRoom = all.filter(target => hasFreeSlot(target, options));
  return withRoom.length > 0 ? withRoom : all;
};

const findLeastLoadedDecodeTarget = (
  decoders: readonly TargetState[],
  options: PlacementOptions,
): TargetState | undefined =>
  findCheapest(
    decoders.map(target => ({
      target,
      cost: computeDecodeCost(target, options),
    })),
  )?.target;

/** The decode engine for a prompt that has been read apart. */
export const chooseDecodeTarget = (
  options: PlacementOptions,
): TargetState | undefined =>
  findLeastLoadedDecodeTarget(
    sampleTargets(
      listDecodeTargets(filterUsableTargets(options), options),
      options,
    ),
    options,
  );

/** The engine at which the prompt is read soonest, apart from any answer. */
const findDedicatedPrefill = (
  targets: readonly TargetState[],
  options: PlacementOptions,
): PrefillCandidate | undefined => {
  const readers = targets.filter(({ record }) => record.role === 'prefill');
  const home = findRendezvousTarget(readers, options.prompt);
  const candidates = samplePrefillTargets(readers, options.prompt, options)
    .map(target => createPrefillCandidate(target, options, 1))
    .map(candidate => {
      const { target, prefillTokens: tokens, cost } = candidate;
      if (target !== home) return candidate;
      const ownMs = tokens / options.prefillSpeed.tokensPerMs;
      return { ...candidate, cost: cost - rendezvousDiscountShare * ownMs };
    });
  return findCheapest(candidates);
};

/** The placement with the earliest first event; none when nothing is left. */
export const placeGeneration = (
  options: PlacementOptions,
): Placement | undefined => {
  const targets = filterUsableTargets(options);
  const decoders = sampleTargets(listDecodeTargets(targets, options), options);
  const apart = findDedicatedPrefill(targets, options);
  const inPlace = findColocatedPrefill(decoders, options);
  const decode = findLeastLoadedDecodeTarget(decoders, options);
  if (decode === undefined) return undefined;
  if (apart === undefined) {
    const target = inPlace?.target ?? decode;
    return createColocatedPlacement(
      createPrefillCandidate(target, options, colocatedPrefillSpeedFactor),
    );
  }
  if (inPlace !== undefined && inPlace.cost < apart.cost + kvTransferMs) {
    return createColocatedPlacement(inPlace);
  }
  return {
    prefillTarget: apart.target,
    decodeTarget: decode,
    findCopySource: apart.copySource,
    prefillTokens: apart.prefillTokens,
    expectedFirstEventMs: apart.prefillMs + prefillOverheadMs + kvTransferMs,
  };
};

/** The least loaded target of a plain service. */
export const placePlainRequest = (
  options: Pick<
    PlacementOptions,
    'targets' | 'excluded' | 'unreached' | 'dataCenter'
  >,
): TargetState | undefined => {
  const scored = filterUsableTargets(options).map(target => {
    const busy = (target.activeRequestCount + 1) / target.record.slots;
    const remote = target.record.dataCenter !== options.dataCenter;
    return { target, cost: busy * target.slowness + (remote ? 0.2 : 0) };
  });
  return findCheapest(scored)?.target;
};
