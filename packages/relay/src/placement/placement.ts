/** Chooses the targets of a request by their load and prefix caches. */
import { canContinueStream } from '../origins/stream-origin.js';
import type { StreamOrigin } from '../origins/stream-origin.js';
import type { Prompt } from '../requests/relay-request.js';
import type { RoomCheck } from '../room/room-check.js';
import type { TargetState } from '../targets/target-state.js';

import {
  sampleTargets,
  samplePrefillTargets,
  findRendezvousTarget,
} from './target-sampling.js';
import type { SamplingOptions } from './target-sampling.js';
import { prefillOverheadMs } from './prefill-speed.js';
import type { PrefillSpeed } from './prefill-speed.js';

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
 * Cost, in running requests, of a target to which this instance has no idle connection.
 * It decides between targets that are loaded alike; without it, more than half of the
 * requests of a large deployment open a connection.
 */
const newConnectionPenaltyRequests = 0.2;

/** Cost added to a prefill engine in another data centre, in milliseconds. */
const remotePrefillPenaltyMs = 12;

/** Fewer cached tokens are faster to prefill than to copy from another engine. */
const minCopiedTokens = 512;

/** Fixed overhead of a KV cache copy, in addition to the transfer. */
const copyOverheadMs = 10;

/**
 * Cost of a copied token relative to a prefilled one, because a copy evicts other
 * segments from the engine's cache. A factor of 1 would rule out copies.
 */
const copyCostFactor = 0.5;

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

/** Request, candidate targets and cost parameters of one placement. */
export interface PlacementOptions extends SamplingOptions {
  readonly targets: readonly TargetState[];
  /**
   * Engines that take no new requests but whose KV cache can still be copied.
   */
  readonly leavingTargets: readonly TargetState[];
  readonly prompt: Prompt;
  readonly prefillSpeed: PrefillSpeed;
  /** Requests that one engine runs at the same time. */
  readonly slots: number;
  /** Time to copy the KV cache of one token from another engine. */
  readonly transferMsPerToken: number;
  /** Engines whose memory has room for the request; all if undefined. */
  readonly room?: RoomCheck;
  /** Targets that already failed for this request. */
  readonly excluded: ReadonlySet<TargetState>;
  /** Data centres to which connections currently fail. */
  readonly unreached: ReadonlySet<string>;
  /**
   * Where the stream began that is to go on; undefined for a new one. Only targets of
   * the same software version can continue it. KV caches depend on the weights alone,
   * so any version may prefill.
   */
  readonly origin: StreamOrigin | undefined;
  /** True if this instance has an idle connection to the target; true by default. */
  readonly isConnected?: (target: TargetState) => boolean;
}

/** Options of a placement with what is the same for all of its candidates. */
interface CandidateOptions extends PlacementOptions {
  readonly copySources: readonly CopySource[];
}

/** A possible prefill engine with the cost of its use in milliseconds. */
interface PrefillCandidate {
  readonly target: TargetState;
  readonly copySource: TargetState | undefined;
  readonly prefillTokens: number;
  readonly prefillMs: number;
  readonly cost: number;
}

/** Prompt tokens that are not in the target's prefix cache; at least 1. */
const countPrefillTokens = (target: TargetState, prompt: Prompt): number =>
  Math.max(
    1,
    prompt.tokens - target.prefixCache.countCachedTokens(prompt.segments),
  );

/**
 * Targets that have not failed for this request, are not changing their role and
 * take a request from this instance now. Avoided and unreachable ones are returned
 * only when there are no others.
 */
const filterUsableTargets = ({
  targets,
  excluded,
  unreached,
}: Pick<
  PlacementOptions,
  'targets' | 'excluded' | 'unreached'
>): TargetState[] => {
  const allowed = targets.filter(
    target =>
      !excluded.has(target) && !target.isChangingRole && target.acceptsRequests,
  );
  const preferred = allowed.filter(
    target => !target.isAvoided && !unreached.has(target.record.dataCenter),
  );
  return preferred.length > 0 ? preferred : allowed;
};

/** Usable targets that can make the events of the request's answer. */
const filterAnsweringTargets = (
  options: Pick<
    PlacementOptions,
    'targets' | 'excluded' | 'unreached' | 'origin'
  >,
): TargetState[] => {
  const { targets, origin } = options;
  return filterUsableTargets({
    ...options,
    targets: targets.filter(({ record }) => canContinueStream(record, origin)),
  });
};

const findCheapest = <T extends { readonly cost: number }>(
  candidates: readonly T[],
): T | undefined => {
  let cheapest: T | undefined;
  for (const candidate of candidates) {
    if (cheapest === undefined || candidate.cost < cheapest.cost) {
      cheapest = candidate;
    }
  }
  return cheapest;
};

/** An engine from which parts of the prompt can be copied. */
interface CopySource {
  readonly engine: TargetState;
  readonly copyableTokens: number;
}

/** Lists the engines with enough copyable tokens of the prompt, once for a placement. */
const listCopySources = (options: PlacementOptions): readonly CopySource[] => {
  const leavingTargets = options.leavingTargets.filter(
    ({ acceptsRequests }) => acceptsRequests,
  );
  return [...filterUsableTargets(options), ...leavingTargets]
    .map(engine => ({
      engine,
      copyableTokens: engine.prefixCache.countCopyableTokens(
        options.prompt.segments,
      ),
    }))
    .filter(({ copyableTokens }) => copyableTokens >= minCopiedTokens);
};

/**
 * Returns the engine with the most copyable prompt tokens that the target lacks,
 * if there are enough for a copy. Engines in the target's data centre win ties.
 */
const findCopySource = (
  target: TargetState,
  sources: readonly CopySource[],
  { prompt }: PlacementOptions,
): CopySource | undefined => {
  if (sources.length === 0) return undefined;
  const targetTokens = target.prefixCache.countCachedTokens(prompt.segments);
  const candidates = sources
    .filter(
      ({ engine, copyableTokens }) =>
        engine !== target && copyableTokens - targetTokens >= minCopiedTokens,
    )
    .map(source => {
      const isRemote =
        source.engine.record.dataCenter !== target.record.dataCenter;
      return { source, cost: (isRemote ? 1 : 0) - source.copyableTokens };
    });
  return findCheapest(candidates)?.source;
};

/**
 * `speedFactor` is the target's prefill speed relative to that of a prefill
 * engine.
 */
const createPrefillCandidate = (
  target: TargetState,
  options: CandidateOptions,
  speedFactor: number,
): PrefillCandidate => {
  const { prompt, prefillSpeed, transferMsPerToken } = options;
  const source = findCopySource(target, options.copySources, options);
  const copySource = source?.engine;
  const uncachedTokens = countPrefillTokens(target, prompt);
  const copyableTokens = source?.copyableTokens ?? 0;
  const prefillTokens = Math.min(
    uncachedTokens,
    Math.max(1, prompt.tokens - copyableTokens),
  );
  const copyMs =
    copySource === undefined
      ? 0
      : copyOverheadMs + (uncachedTokens - prefillTokens) * transferMsPerToken;
  const msPerToken = target.slowness / speedFactor / prefillSpeed.tokensPerMs;
  const prefillMs =
    (target.pendingPrefillTokens + prefillTokens) * msPerToken + copyMs;
  const evictionCostMs =
    copyCostFactor * (uncachedTokens - prefillTokens) * msPerToken;
  const isRemote = target.record.dataCenter !== options.dataCenter;
  const remotePenaltyMs = isRemote ? remotePrefillPenaltyMs : 0;
  const cost = prefillMs + evictionCostMs + remotePenaltyMs;
  return {
    target,
    copySource,
    prefillTokens,
    prefillMs,
    cost,
  };
};

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

const computeConnectionPenalty = (
  target: TargetState,
  { isConnected }: Pick<PlacementOptions, 'isConnected'>,
): number =>
  isConnected?.(target) === false ? newConnectionPenaltyRequests : 0;

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

/**
 * Returns the least loaded target of a service without engines; undefined when
 * there is none. A remote data centre costs as much as 0.2 of the slots in use.
 */
export const selectPlainTarget = (
  options: Pick<
    PlacementOptions,
    | 'targets'
    | 'excluded'
    | 'unreached'
    | 'dataCenter'
    | 'origin'
    | 'isConnected'
  >,
): TargetState | undefined => {
  const candidates = filterAnsweringTargets(options).map(target => {
    const requests =
      target.activeRequestCount + 1 + computeConnectionPenalty(target, options);
    const utilization = requests / target.record.slots;
    const isRemote = target.record.dataCenter !== options.dataCenter;
    return {
      target,
      cost: utilization * target.slowness + (isRemote ? 0.2 : 0),
    };
  });
  return findCheapest(candidates)?.target;
};
