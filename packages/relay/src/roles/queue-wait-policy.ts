/**
 * Moves engines between reading prompts and making tokens. Made for mixes
 * that swing within seconds and for fleets that lose engines: the rate at
 * which prompts come says how many engines have to read, before their queues
 * grow; queues that last say that the rate was not all.
 */
import { RolePolicy } from '@medlarlever/core';
import type { EngineView, FleetView, RoleDecision } from '@medlarlever/core';

export interface QueueWaitPolicyOptions {
  /** Prompt tokens that a prefill engine reads in a millisecond. */
  readonly getPrefillTokensPerMs: () => number;
  /** Time between two decisions, so that the first one shows its effect. */
  readonly minChangeIntervalMs: number;
}

/** Part of its time that a prefill engine may read before queues grow. */
const targetPrefillUtilization = 0.7;

/** Wait for a prefill engine beyond which one more is worth its change. */
const longPrefillWaitMs = 150;

/** Wait below which a prefill engine can be spared. */
const shortPrefillWaitMs = 15;

/** Part of a decode engine's slots that may be in use after it gave one up. */
const maxDecodeUtilizationAfterRemoval = 0.45;

/** Part of the slots in use at which decoding needs one more engine. */
const highDecodeUtilization = 0.6;

/** Weight of the newest picture in the moving averages. */
const smoothingFactor = 0.35;

/** Pictures before the averages mean anything. */
const minSamples = 3;

/** Part of the engines that may change at the same time. */
const maxChangingFraction = 0.2;

const msPerSecond = 1_000;

/** What a decision rests on. */
interface PolicyInputs {
  readonly averagePrefillWaitMs: number;
  readonly decodeUtilization: number;
  readonly prefillEngineCount: number;
  readonly decodeEngineCount: number;
  /** Prefill engines that the rate of prompts asks for. */
  readonly requiredPrefillEngineCount: number;
}

export class QueueWaitPolicy extends RolePolicy {
  readonly name = 'waiting';
  readonly #options: QueueWaitPolicyOptions;
  #averagePrefillWaitMs = 0;
  #decodeUtilization = 0;
  #sampleCount = 0;
  #changedAtMs = -Infinity;

  constructor(options: QueueWaitPolicyOptions) {
    super();
    this.#options = options;
  }

  override decideChanges(view: FleetView): RoleDecision {
    const engines = view.engines.filter(engine => engine.available);
    const readers = engines.filter(engine => engine.role === 'prefill');
    const makers = engines.filter(engine => engine.role === 'decode');
    const figures = this.#updateAverages(view, readers, makers);
    const explanation = formatExplanation(figures);
    const settled =
      view.nowMs - this.#changedAtMs >= this.#options.minChangeIntervalMs;
    const urgent = makers.length === 0;
    if (!urgent && (!settled || this.#sampleCount < minSamples)) {
      return { changes: [], explanation };
    }
    const change = (to: 'prefill' | 'decode') => (engine: EngineView) => ({
      engine: engine.name,
      from: engine.role,
      to,
      reason: explanation,
    });
    const chosen = this.#selectRoleChanges(figures, readers, makers);
    const changes = [
      ...chosen.toPrefill.map(change('prefill')),
      ...chosen.toDecode.map(change('decode')),
    ];
    if (changes.length > 0) this.#changedAtMs = view.nowMs;
    return { changes, explanation };
  }

  #selectRoleChanges(
    figures: PolicyInputs,
    readers: readonly EngineView[],
    makers: readonly EngineView[],
  ): RoleChangeSelection {
    const unserved = findEngineForMissingDecode(readers, makers);
    if (unserved !== undefined) return { toPrefill: [], toDecode: [unserved] };
    const more = computePrefillEngineDelta(figures);
    const total = readers.length + makers.length;
    const most = Math.max(1, Math.floor(maxChangingFraction * total));
    if (more < 0) {
      return { toPrefill: [], toDecode: sortByLoad(readers).slice(0, 1) };
    }
    return {
      toPrefill: selectSpareDecodeEngines(makers, Math.min(most, more)),
      toDecode: [],
    };
  }

  #updateAverages(
    view: FleetView,
    readers: readonly EngineView[],
    makers: readonly EngineView[],
  ): PolicyInputs {
    const speed = this.#options.getPrefillTokensPerMs();
    const unread = sumOverEngines(readers, engine => engine.prefillTokens);
    const waitMs = unread / Math.max(1, readers.length) / speed;
    const used = sumOverEngines(makers, engine => engine.running);
    const slots = sumOverEngines(makers, engine => engine.slots);
    const share = this.#sampleCount === 0 ? 1 : smoothingFactor;
    this.#sampleCount += 1;
    this.#averagePrefillWaitMs += share * (waitMs - this.#averagePrefillWaitMs);
    this.#decodeUtilization +=
      share * (used / Math.max(1, slots) - this.#decodeUtilization);
    const perMs = view.demand.reduce(
      (rate, { prefillRate }) => rate + prefillRate / msPerSecond,
      0,
    );
    return {
      averagePrefillWaitMs: this.#averagePrefillWaitMs,
      decodeUtilization: this.#decodeUtilization,
      prefillEngineCount: readers.length,
      decodeEngineCount: makers.length,
      requiredPrefillEngineCount: Math.ceil(
        perMs / (speed * targetPrefillUtilization),
      ),
    };
  }
}

/** Engines that get another role. */
interface RoleChangeSelection {
  readonly toPrefill: readonly EngineView[];
  readonly toDecode: readonly EngineView[];
}

/** Readers to add, or to take away when negative. */
const computePrefillEngineDelta = (figures: PolicyInputs): number => {
  const {
    averagePrefillWaitMs: waitMs,
    decodeUtilization: usedShare,
    prefillEngineCount: readers,
    decodeEngineCount: makers,
    requiredPrefillEngineCount: needed,
  } = figures;
  if (makers === 0) return -1;
  const lasting = waitMs > longPrefillWaitMs || readers === 0 ? 1 : 0;
  const wanted = Math.max(needed - readers, lasting);
  const kept = Math.max(
    1,
    Math.ceil((usedShare * makers) / maxDecodeUtilizationAfterRemoval),
  );
  if (wanted > 0) return Math.max(0, Math.min(wanted, makers - kept));
  const spare = readers > 1 && waitMs < shortPrefillWaitMs && needed < readers;
  return spare && usedShare > highDecodeUtilization ? -1 : 0;
};

const formatExplanation = (figures: PolicyInputs): string =>
  `prefill wait ${Math.round(figures.averagePrefillWaitMs)} ms, ` +
  `decode slots used ${figures.decodeUtilization.toFixed(2)}, ` +
  `${figures.prefillEngineCount} prefill and ${figures.decodeEngineCount} decode engines, ` +
  `${figures.requiredPrefillEngineCount} needed to read`;

const sumOverEngines = (
  engines: readonly EngineView[],
  value: (engine: EngineView) => number,
): number => engines.reduce((total, engine) => total + value(engine), 0);

const sortByLoad = (engines: readonly EngineView[]): readonly EngineView[] =>
  [...engines].sort(
    (a, b) => a.running + a.prefillTokens - b.running - b.prefillTokens,
  );

/**
 * The least busy decode engines that can be spared. Each data centre keeps
 * one, so that it can go on when it is cut off from the others.
 */
const selectSpareDecodeEngines = (
  makers: readonly EngineView[],
  count: number,
): readonly EngineView[] => {
  const left = countEnginesByDataCenter(makers);
  const spared: EngineView[] = [];
  for (const engine of sortByLoad(makers)) {
    const others = (left.get(engine.dataCenter) ?? 0) - 1;
    if (others < 1 || spared.length >= count) continue;
    left.set(engine.dataCenter, others);
    spared.push(engine);
  }
  return spared;
};

/** A prefill engine of a data centre that has several, but none to decode. */
const findEngineForMissingDecode = (
  readers: readonly EngineView[],
  makers: readonly EngineView[],
): EngineView | undefined => {
  const served = countEnginesByDataCenter(makers);
  const reading = countEnginesByDataCenter(readers);
  return sortByLoad(readers).find(
    ({ dataCenter }) =>
      !served.has(dataCenter) && (reading.get(dataCenter) ?? 0) > 1,
  );
};

const countEnginesByDataCenter = (
  engines: readonly EngineView[],
): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { dataCenter } of engines) {
    counts.set(dataCenter, (counts.get(dataCenter) ?? 0) + 1);
  }
  return counts;
};
