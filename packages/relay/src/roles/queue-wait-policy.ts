/**
 * Moves engines between prefill and decode. The policy handles workloads whose
 * mix changes within seconds and fleets that lose engines. It derives the
 * required number of prefill engines from the prompt token rate, before queues
 * grow, and adds one more if the average queue wait stays long despite that.
 */
import { RolePolicy } from '@medlarlever/core';
import type {
  EngineView,
  FleetView,
  RoleChange,
  RoleDecision,
} from '@medlarlever/core';

import { DecayingPeak } from './decaying-peak.js';
import {
  findDecodeReplacement,
  findEngineForMissingDecode,
  getCapacityShare,
  selectSpareDecodeEngines,
  sortByUse,
} from './engine-selection.js';

/** Parameters of {@link QueueWaitPolicy}. */
export interface QueueWaitPolicyOptions {
  /** Returns the prompt tokens that a prefill engine processes per millisecond. */
  readonly getPrefillTokensPerMs: () => number;
  /** Returns the longest time to a first event that a route of the service aims for. */
  readonly getLatencyTargetMs: () => number;
  /**
   * Minimum time between a change and a decision by waits or slots, so that the effect
   * of the change is visible before. Engines that the token rate asks for don't wait
   * for it: those that are moving already count as prefill engines.
   */
  readonly minChangeIntervalMs: number;
}

/**
 * Fraction of its time that a prefill engine can be busy. Prompt lengths vary widely,
 * so queues grow long before an engine is always busy.
 */
export const targetPrefillUtilization = 0.5;

/**
 * Average prefill wait above which adding an engine is worth the role change, as a
 * fraction of the latency target.
 */
const longPrefillWaitShare = 0.1;

/**
 * Maximum fraction of decode slots in use after decode engines have moved to
 * prefill.
 */
export const maxDecodeUtilizationAfterRemoval = 0.55;

/**
 * Minimum fraction of the engines that decode, if decoding is a considerable part of
 * the work: a burst of requests comes faster than an engine can move back, and decode
 * engines may leave.
 */
export const decodeReserveFraction = 0.4;

/**
 * Fraction of the slots of all engines that the recent peak of running requests must
 * have taken for the reserve to apply.
 */
export const minPeakUtilizationForReserve = 0.2;

/**
 * Minimum fraction of the engines that decode in any case. Slots in use do not show all that
 * a decode engine does: it takes the KV caches of its prompts one after another. And a data
 * centre may be cut off with its share of them.
 */
const minDecodeFraction = 0.2;

/** Average prefill wait below which a prefill engine can be removed. */
const shortPrefillWaitMs = 15;

/** Fraction of decode slots in use above which decode takes an idle prefill engine. */
const highDecodeUtilization = 0.6;

/** Weight of the newest sample in the exponential moving averages. */
const smoothingFactor = 0.35;

/** Number of samples required before the averages are used. */
const minSamples = 3;

/** Maximum fraction of the engines that may move to prefill at the same time. */
const maxChangingFraction = 0.2;

const msPerSecond = 1_000;

/** Measured values from which the policy derives a decision. */
interface PolicyInputs {
  readonly averagePrefillWaitMs: number;
  /** Wait above which another prefill engine is worth the role change. */
  readonly longPrefillWaitMs: number;
  readonly decodeUtilization: number;
  /** Decode engines kept for bursts, whatever prompts wait. */
  readonly decodeReserve: number;
  /** Decode engines that the running requests need, at least the reserve and a fraction. */
  readonly minDecodeEngineCount: number;
  /** Prefill engines, those that are moving included, each by its capacity share. */
  readonly prefillEngineCount: number;
  /** Decode engines, each counted by its capacity share. */
  readonly decodeEngineCount: number;
  /** Number of prefill engines needed to handle the prompt token rate. */
  readonly requiredPrefillEngineCount: number;
}

/** Role policy driven by the prompt token rate and the prefill queue wait. */
export class QueueWaitPolicy extends RolePolicy {
  readonly name = 'waiting';
  readonly #options: QueueWaitPolicyOptions;
  #averagePrefillWaitMs = 0;
  #decodeUtilization = 0;
  readonly #runningRequestPeak = new DecayingPeak();
  #sampleCount = 0;
  #changedAtMs = -Infinity;
  /** Engines that are moving to prefill, and when that was decided. */
  readonly #joiningSinceMs = new Map<string, number>();

  constructor(options: QueueWaitPolicyOptions) {
    super();
    this.#options = options;
  }

  override decideChanges(view: FleetView): RoleDecision {
    this.#updateJoiningEngines(view);
    const engines = view.engines.filter(
      ({ available, name }) => available && !this.#joiningSinceMs.has(name),
    );
    const prefillEngines = engines.filter(engine => engine.role === 'prefill');
    const decodeEngines = engines.filter(engine => engine.role === 'decode');
    const inputs = this.#updateAverages(view, prefillEngines, decodeEngines);
    const explanation = formatExplanation(inputs);
    const intervalElapsed =
      view.nowMs - this.#changedAtMs >= this.#options.minChangeIntervalMs;
    const isUrgent = decodeEngines.length === 0;
    const isPrefillMissing =
      inputs.requiredPrefillEngineCount > inputs.prefillEngineCount;
    const mayDecide =
      this.#sampleCount >= minSamples && (intervalElapsed || isPrefillMissing);
    if (!isUrgent && !mayDecide) return { changes: [], explanation };
    const { newPrefillEngines, newDecodeEngines } = this.#selectRoleChanges(
      inputs,
      prefillEngines,
      decodeEngines,
    );
    const changes = [
      ...createRoleChanges(newPrefillEngines, 'prefill', explanation),
      ...(intervalElapsed || isUrgent
        ? createRoleChanges(newDecodeEngines, 'decode', explanation)
        : []),
    ];
    this.#recordChanges(changes, view.nowMs);
    return { changes, explanation };
  }

  #recordChanges(changes: readonly RoleChange[], nowMs: number): void {
    if (changes.length > 0) this.#changedAtMs = nowMs;
    for (const { engine, to } of changes) {
      if (to === 'prefill') this.#joiningSinceMs.set(engine, nowMs);
    }
  }

  /** Forgets engines that prefill by now, or that have not arrived in time. */
  #updateJoiningEngines({ engines, nowMs }: FleetView): void {
    for (const { name, available, role } of engines) {
      if (available && role === 'prefill') this.#joiningSinceMs.delete(name);
    }
    for (const [name, sinceMs] of this.#joiningSinceMs) {
      if (nowMs - sinceMs >= this.#options.minChangeIntervalMs)
        this.#joiningSinceMs.delete(name);
    }
  }

  #selectRoleChanges(
    inputs: PolicyInputs,
    prefillEngines: readonly EngineView[],
    decodeEngines: readonly EngineView[],
  ): RoleChangeSelection {
    const engineForMissingDecode = findEngineForMissingDecode(
      prefillEngines,
      decodeEngines,
    );
    if (engineForMissingDecode !== undefined)
      return {
        newPrefillEngines: [],
        newDecodeEngines: [engineForMissingDecode],
      };
    const prefillEngineDelta = computePrefillEngineDelta(inputs);
    const joiningCount = this.#joiningSinceMs.size;
    const total = prefillEngines.length + decodeEngines.length + joiningCount;
    const maxJoiningCount = Math.max(
      1,
      Math.floor(maxChangingFraction * total),
    );
    if (prefillEngineDelta > 0 && joiningCount >= maxJoiningCount)
      return { newPrefillEngines: [], newDecodeEngines: [] };
    if (prefillEngineDelta < 0) {
      return {
        newPrefillEngines: [],
        newDecodeEngines: sortByUse(prefillEngines).slice(0, 1),
      };
    }
    const newPrefillEngines = selectSpareDecodeEngines(
      decodeEngines,
      Math.min(maxJoiningCount - joiningCount, prefillEngineDelta),
    );
    const needsReplacement =
      prefillEngineDelta > 0 && newPrefillEngines.length === 0;
    return {
      newPrefillEngines,
      newDecodeEngines: needsReplacement
        ? findDecodeReplacement(prefillEngines, decodeEngines)
        : [],
    };
  }

  #updateAverages(
    view: FleetView,
    prefillEngines: readonly EngineView[],
    decodeEngines: readonly EngineView[],
  ): PolicyInputs {
    const prefillTokensPerMs = this.#options.getPrefillTokensPerMs();
    const prefillTokens = sumOverEngines(
      prefillEngines,
      engine => engine.prefillTokens,
    );
    const prefillEngineCount =
      sumOverEngines(prefillEngines, getCapacityShare) +
      this.#joiningSinceMs.size;
    const decodeEngineCount = sumOverEngines(decodeEngines, getCapacityShare);
    const waitMs =
      prefillTokens / Math.max(1, prefillEngineCount) / prefillTokensPerMs;
    const runningRequestCount = sumOverEngines(
      decodeEngines,
      engine => engine.running,
    );
    const slots = sumOverEngines(
      decodeEngines,
      engine => engine.slots * getCapacityShare(engine),
    );
    const runningRequestPeak = this.#runningRequestPeak.addValue(
      runningRequestCount,
      view.nowMs,
    );
    const engines = [...prefillEngines, ...decodeEngines];
    const peakUtilization =
      runningRequestPeak /
      Math.max(
        1,
        sumOverEngines(engines, engine => engine.slots),
      );
    const decodeReserve =
      peakUtilization > minPeakUtilizationForReserve
        ? Math.ceil(
            decodeReserveFraction * (prefillEngineCount + decodeEngineCount),
          )
        : 1;
    const weight = this.#sampleCount === 0 ? 1 : smoothingFactor;
    this.#sampleCount += 1;
    this.#averagePrefillWaitMs +=
      weight * (waitMs - this.#averagePrefillWaitMs);
    this.#decodeUtilization +=
      weight *
      (runningRequestCount / Math.max(1, slots) - this.#decodeUtilization);
    const demandTokensPerMs = view.demand.reduce(
      (rate, { prefillRate }) => rate + prefillRate / msPerSecond,
      0,
    );
    return {
      averagePrefillWaitMs: this.#averagePrefillWaitMs,
      longPrefillWaitMs:
        longPrefillWaitShare * this.#options.getLatencyTargetMs(),
      decodeUtilization: this.#decodeUtilization,
      decodeReserve,
      minDecodeEngineCount: Math.max(
        1,
        Math.ceil(
          (this.#decodeUtilization * decodeEngineCount) /
            maxDecodeUtilizationAfterRemoval,
        ),
        decodeReserve,
        Math.floor(
          minDecodeFraction * (prefillEngineCount + decodeEngineCount),
        ),
      ),
      prefillEngineCount,
      decodeEngineCount,
      requiredPrefillEngineCount: Math.ceil(
        demandTokensPerMs / (prefillTokensPerMs * targetPrefillUtilization),
      ),
    };
  }
}

/** Engines that get a new role. */
interface RoleChangeSelection {
  readonly newPrefillEngines: readonly EngineView[];
  readonly newDecodeEngines: readonly EngineView[];
}

/** Returns the number of prefill engines to add; negative means to remove. */
const computePrefillEngineDelta = (inputs: PolicyInputs): number => {
  const {
    averagePrefillWaitMs,
    longPrefillWaitMs,
    decodeUtilization,
    decodeReserve,
    minDecodeEngineCount,
    prefillEngineCount,
    decodeEngineCount,
    requiredPrefillEngineCount,
  } = inputs;
  if (decodeEngineCount === 0) return -1;
  if (decodeEngineCount < decodeReserve && prefillEngineCount > 1) return -1;
  const minAddedEngineCount =
    averagePrefillWaitMs > longPrefillWaitMs || prefillEngineCount === 0
      ? 1
      : 0;
  const addedCount = Math.max(
    Math.ceil(requiredPrefillEngineCount - prefillEngineCount),
    minAddedEngineCount,
  );
  if (addedCount > 0)
    return Math.max(
      0,
      Math.min(
        addedCount,
        Math.floor(decodeEngineCount - minDecodeEngineCount),
      ),
    );
  const hasSparePrefillEngine =
    prefillEngineCount > 1 &&
    averagePrefillWaitMs < shortPrefillWaitMs &&
    requiredPrefillEngineCount < prefillEngineCount;
  return hasSparePrefillEngine && decodeUtilization > highDecodeUtilization
    ? -1
    : 0;
};

const createRoleChanges = (
  engines: readonly EngineView[],
  to: 'prefill' | 'decode',
  reason: string,
): RoleChange[] =>
  engines.map(({ name, role }) => ({ engine: name, from: role, to, reason }));

/** A count with one decimal, if it is not whole. */
const formatCount = (count: number): string => String(Number(count.toFixed(1)));

const formatExplanation = (inputs: PolicyInputs): string =>
  `prefill wait ${Math.round(inputs.averagePrefillWaitMs)} ms, ` +
  `decode slots used ${inputs.decodeUtilization.toFixed(2)}, ` +
  `${formatCount(inputs.prefillEngineCount)} prefill and ${formatCount(inputs.decodeEngineCount)} decode engines, ` +
  `${inputs.requiredPrefillEngineCount} prefill and ${inputs.minDecodeEngineCount} decode engines required`;

const sumOverEngines = (
  engines: readonly EngineView[],
  getValue: (engine: EngineView) => number,
): number => engines.reduce((total, engine) => total + getValue(engine), 0);
