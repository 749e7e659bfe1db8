/** Chooses the targets of a request from what is known of their load. */
import type { Prompt } from '../requests/relay-request.js';
import type { TargetState } from '../targets/target-state.js';

import { sampled, sampledReaders, homeOf } from './target-sampling.js';
import type { SampleOptions } from './target-sampling.js';
import { readingOverheadMs } from './prefill-speed.js';
import type { ReadingSpeed } from './prefill-speed.js';

/** A decode engine reads prompts at this part of a prefill engine's speed. */
const readingInPlaceSpeed = 0.5;

/**
 * Reading in place stretches the gaps of the streams beside it, so a decode
 * engine with streams gets no more prompt tokens than it reads in this time.
 */
const readingInPlaceMs = 120;

/** From the handed over prompt to the first event: transfer and a step. */
export const handoverMs = 30;

/** Running requests that a decode engine of another data centre must save. */
const remotePenalty = 2;

/** Time that a prefill engine of another data centre must save. */
const remoteReadingMs = 12;

/** Fewer tokens are read sooner than copied from another engine. */
const fewestCopiedTokens = 512;

/** Time of a copy beside the transfer itself. */
const copyOverheadMs = 10;

/**
 * A copy crowds other parts out of the engine's memory: its price against
 * reading the tokens, where 1 would forbid copies.
 */
const copyPrice = 0.5;

/** Part of the reading time by which a prompt's home may be the dearer one. */
const homeShare = 0.25;

/** Where a generation's prompt is read and its answer made. */
export interface Placement {
  /** Absent when the prompt is read where the answer is made. */
  readonly prefill: TargetState | undefined;
  readonly decode: TargetState;
  /** Engine that keeps more of the prompt than the one that reads it. */
  readonly copyFrom: TargetState | undefined;
  /** Prompt tokens that are left to read. */
  readonly tokens: number;
  /** Expected time to the first event. */
  readonly firstEventMs: number;
}

export interface PlacementOptions extends SampleOptions {
  readonly targets: readonly TargetState[];
  /** Engines that take no requests any more, but give copies. */
  readonly leaving: readonly TargetState[];
  readonly prompt: Prompt;
  readonly speed: ReadingSpeed;
  readonly slots: number;
  /** Time to copy the memory of a token from another engine. */
  readonly transferMsPerToken: number;
  /** Targets that are not to be tried again. */
  readonly excluded: ReadonlySet<TargetState>;
  /** Data centres that seem to be out of reach. */
  readonly unreached: ReadonlySet<string>;
}

interface Candidate {
  readonly target: TargetState;
  readonly copyFrom: TargetState | undefined;
  readonly tokens: number;
  readonly readMs: number;
  readonly cost: number;
}

/** Tokens of the prompt that the target has to read. */
const tokensToRead = (target: TargetState, prompt: Prompt): number =>
  Math.max(1, prompt.tokens - target.cache.cachedTokens(prompt.parts));

/** Trusted targets that were not tried; without any, those not trusted. */
const usable = ({
  targets,
  excluded,
  unreached,
}: Pick<
  PlacementOptions,
  'targets' | 'excluded' | 'unreached'
>): TargetState[] => {
  const allowed = targets.filter(
    target => !excluded.has(target) && !target.closed,
  );
  const trusted = allowed.filter(
    target => !target.avoided && !unreached.has(target.record.dataCenter),
  );
  return trusted.length > 0 ? trusted : allowed;
};

const best = <T extends { readonly cost: number }>(
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
  const own = target.cache.cachedTokens(prompt.parts);
  const sources = [...usable(options), ...options.leaving]
    .filter(other => other !== target)
    .map(other => {
      const tokens = other.cache.copyableTokens(prompt.parts) - own;
      const remote = other.record.dataCenter !== target.record.dataCenter;
      return { other, tokens, cost: (remote ? 1 : 0) - tokens };
    })
    .filter(({ tokens }) => tokens >= fewestCopiedTokens);
  return best(sources)?.other;
};

const reader = (
  target: TargetState,
  options: PlacementOptions,
  speedFactor: number,
): Candidate => {
  const { prompt, speed, transferMsPerToken } = options;
  const copyFrom = copySource(target, options);
  const own = tokensToRead(target, prompt);
  const copyable = copyFrom?.cache.copyableTokens(prompt.parts) ?? 0;
  const tokens = Math.min(own, Math.max(1, prompt.tokens - copyable));
  const copyMs =
    copyFrom === undefined
      ? 0
      : copyOverheadMs + (own - tokens) * transferMsPerToken;
  const msPerToken = target.slowness / speedFactor / speed.tokensPerMs;
  const readMs = (target.unreadTokens + tokens) * msPerToken + copyMs;
  const crowdingMs = copyPrice * (own - tokens) * msPerToken;
  const remote = target.record.dataCenter !== options.dataCenter;
  const remoteMs = remote ? remoteReadingMs : 0;
  const cost = readMs + crowdingMs + remoteMs;
  return { target, copyFrom, tokens, readMs, cost };
};

/** Least loaded first; one of this data centre when about equal. */
const decodeCost = (target: TargetState, options: PlacementOptions): number => {
  const remote = target.record.dataCenter !== options.dataCenter;
  const reading = target.unreadTokens * 0.001;
  return (
    (target.running + reading) * target.slowness + (remote ? remotePenalty : 0)
  );
};

const hasRoom = (target: TargetState, options: PlacementOptions): boolean =>
  target.running < options.slots;

/**
 * Every stream of a decode engine stands still while a prompt is read there:
 * each of them loses the time that the reading takes.
 */
const disturbing = (candidate: Candidate): Candidate => {
  const { target, cost, readMs } = candidate;
  return { ...candidate, cost: cost + target.running * readMs };
};

const readInPlace = (
  decoders: readonly TargetState[],
  options: PlacementOptions,
): Candidate | undefined => {
  const most =
    readingInPlaceMs * options.speed.tokensPerMs * readingInPlaceSpeed;
  const candidates = decoders
    .map(target => reader(target, options, readingInPlaceSpeed))
    .filter(
      ({ target, tokens }) =>
        target.running === 0 || target.unreadTokens + tokens <= most,
    )
    .map(disturbing);
  return best(candidates);
};

const readWhereMade = (candidate: Candidate): Placement => ({
  prefill: undefined,
  decode: candidate.target,
  copyFrom: candidate.copyFrom,
  tokens: candidate.tokens,
  firstEventMs: candidate.readMs + readingOverheadMs,
});

/** Decode engines that take another request, or all when every one is full. */
const decodersOf = (
  targets: readonly TargetState[],
  options: PlacementOptions,
): readonly TargetState[] => {
  const all = targets.filter(({ record }) => record.role !== 'prefill');
  const withRoom = all.filter(target => hasRoom(target, options));
  return withRoom.length > 0 ? withRoom : all;
};

const leastLoaded = (
  decoders: readonly TargetState[],
  options: PlacementOptions,
): TargetState | undefined =>
  best(decoders.map(target => ({ target, cost: decodeCost(target, options) })))
    ?.target;

/** The decode engine for a prompt that has been read apart. */
export const placeDecoding = (
  options: PlacementOptions,
): TargetState | undefined =>
  leastLoaded(sampled(decodersOf(usable(options), options), options), options);

/** The engine at which the prompt is read soonest, apart from any answer. */
const readApart = (
  targets: readonly TargetState[],
  options: PlacementOptions,
): Candidate | undefined => {
  const readers = targets.filter(({ record }) => record.role === 'prefill');
  const home = homeOf(readers, options.prompt);
  const candidates = sampledReaders(readers, options.prompt, options)
    .map(target => reader(target, options, 1))
    .map(candidate => {
      const { target, tokens, cost } = candidate;
      if (target !== home) return candidate;
      const ownMs = tokens / options.speed.tokensPerMs;
      return { ...candidate, cost: cost - homeShare * ownMs };
    });
  return best(candidates);
};

/** The placement with the earliest first event; none when nothing is left. */
export const placeGeneration = (
  options: PlacementOptions,
): Placement | undefined => {
  const targets = usable(options);
  const decoders = sampled(decodersOf(targets, options), options);
  const apart = readApart(targets, options);
  const inPlace = readInPlace(decoders, options);
  const decode = leastLoaded(decoders, options);
  if (decode === undefined) return undefined;
  if (apart === undefined) {
    const target = inPlace?.target ?? decode;
    return readWhereMade(reader(target, options, readingInPlaceSpeed));
  }
  if (inPlace !== undefined && inPlace.cost < apart.cost + handoverMs) {
    return readWhereMade(inPlace);
  }
  return {
    prefill: apart.target,
    decode,
    copyFrom: apart.copyFrom,
    tokens: apart.tokens,
    firstEventMs: apart.readMs + readingOverheadMs + handoverMs,
  };
};

/** The least loaded target of a plain service. */
export const placeCall = (
  options: Pick<
    PlacementOptions,
    'targets' | 'excluded' | 'unreached' | 'dataCenter'
  >,
): TargetState | undefined => {
  const scored = usable(options).map(target => {
    const busy = (target.running + 1) / target.record.slots;
    const remote = target.record.dataCenter !== options.dataCenter;
    return { target, cost: busy * target.slowness + (remote ? 0.2 : 0) };
  });
  return best(scored)?.target;
};
