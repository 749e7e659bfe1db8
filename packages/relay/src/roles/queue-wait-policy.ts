/**
 * Moves engines between reading prompts and making tokens. Made for mixes
 * that swing within seconds and for fleets that lose engines: the rate at
 * which prompts come says how many engines have to read, before their queues
 * grow; queues that last say that the rate was not all.
 */
import { RolePolicy } from '@medlarlever/core';
import type { EngineView, FleetView, RoleDecision } from '@medlarlever/core';

export interface WaitingPolicyOptions {
  /** Prompt tokens that a prefill engine reads in a millisecond. */
  readonly tokensPerMs: () => number;
  /** Time between two decisions, so that the first one shows its effect. */
  readonly settleMs: number;
}

/** Part of its time that a prefill engine may read before queues grow. */
const readingShare = 0.7;

/** Wait for a prefill engine beyond which one more is worth its change. */
const longWaitMs = 150;

/** Wait below which a prefill engine can be spared. */
const shortWaitMs = 15;

/** Part of a decode engine's slots that may be in use after it gave one up. */
const fullShare = 0.45;

/** Part of the slots in use at which decoding needs one more engine. */
const crowdedShare = 0.6;

/** Weight of the newest picture in the moving averages. */
const newestShare = 0.35;

/** Pictures before the averages mean anything. */
const fewestViews = 3;

/** Part of the engines that may change at the same time. */
const mostChangingShare = 0.2;

const msPerSecond = 1_000;

/** What a decision rests on. */
interface Figures {
  readonly waitMs: number;
  readonly usedShare: number;
  readonly readers: number;
  readonly makers: number;
  /** Prefill engines that the rate of prompts asks for. */
  readonly needed: number;
}

export class WaitingPolicy extends RolePolicy {
  readonly name = 'waiting';
  readonly #options: WaitingPolicyOptions;
  #waitMs = 0;
  #usedShare = 0;
  #views = 0;
  #changedAtMs = -Infinity;

  constructor(options: WaitingPolicyOptions) {
    super();
    this.#options = options;
  }

  override decide(view: FleetView): RoleDecision {
    const engines = view.engines.filter(engine => engine.available);
    const readers = engines.filter(engine => engine.role === 'prefill');
    const makers = engines.filter(engine => engine.role === 'decode');
    const figures = this.#observe(view, readers, makers);
    const explanation = explain(figures);
    const settled = view.nowMs - this.#changedAtMs >= this.#options.settleMs;
    const urgent = makers.length === 0;
    if (!urgent && (!settled || this.#views < fewestViews)) {
      return { changes: [], explanation };
    }
    const change = (to: 'prefill' | 'decode') => (engine: EngineView) => ({
      engine: engine.name,
      from: engine.role,
      to,
      reason: explanation,
    });
    const chosen = this.#choose(figures, readers, makers);
    const changes = [
      ...chosen.toPrefill.map(change('prefill')),
      ...chosen.toDecode.map(change('decode')),
    ];
    if (changes.length > 0) this.#changedAtMs = view.nowMs;
    return { changes, explanation };
  }

  #choose(
    figures: Figures,
    readers: readonly EngineView[],
    makers: readonly EngineView[],
  ): Choice {
    const unserved = engineForUnserved(readers, makers);
    if (unserved !== undefined) return { toPrefill: [], toDecode: [unserved] };
    const more = moreReaders(figures);
    const total = readers.length + makers.length;
    const most = Math.max(1, Math.floor(mostChangingShare * total));
    if (more < 0) {
      return { toPrefill: [], toDecode: leastBusy(readers).slice(0, 1) };
    }
    return {
      toPrefill: spareMakers(makers, Math.min(most, more)),
      toDecode: [],
    };
  }

  #observe(
    view: FleetView,
    readers: readonly EngineView[],
    makers: readonly EngineView[],
  ): Figures {
    const speed = this.#options.tokensPerMs();
    const unread = sum(readers, engine => engine.prefillTokens);
    const waitMs = unread / Math.max(1, readers.length) / speed;
    const used = sum(makers, engine => engine.running);
    const slots = sum(makers, engine => engine.slots);
    const share = this.#views === 0 ? 1 : newestShare;
    this.#views += 1;
    this.#waitMs += share * (waitMs - this.#waitMs);
    this.#usedShare += share * (used / Math.max(1, slots) - this.#usedShare);
    const perMs = view.demand.reduce(
      (rate, { prefillRate }) => rate + prefillRate / msPerSecond,
      0,
    );
    return {
      waitMs: this.#waitMs,
      usedShare: this.#usedShare,
      readers: readers.length,
      makers: makers.length,
      needed: Math.ceil(perMs / (speed * readingShare)),
    };
  }
}

/** Engines that get another role. */
interface Choice {
  readonly toPrefill: readonly EngineView[];
  readonly toDecode: readonly EngineView[];
}

/** Readers to add, or to take away when negative. */
const moreReaders = (figures: Figures): number => {
  const { waitMs, usedShare, readers, makers, needed } = figures;
  if (makers === 0) return -1;
  const lasting = waitMs > longWaitMs || readers === 0 ? 1 : 0;
  const wanted = Math.max(needed - readers, lasting);
  const kept = Math.max(1, Math.ceil((usedShare * makers) / fullShare));
  if (wanted > 0) return Math.max(0, Math.min(wanted, makers - kept));
  const spare = readers > 1 && waitMs < shortWaitMs && needed < readers;
  return spare && usedShare > crowdedShare ? -1 : 0;
};

const explain = (figures: Figures): string =>
  `prefill wait ${Math.round(figures.waitMs)} ms, ` +
  `decode slots used ${figures.usedShare.toFixed(2)}, ` +
  `${figures.readers} prefill and ${figures.makers} decode engines, ` +
  `${figures.needed} needed to read`;

const sum = (
  engines: readonly EngineView[],
  value: (engine: EngineView) => number,
): number => engines.reduce((total, engine) => total + value(engine), 0);

const leastBusy = (engines: readonly EngineView[]): readonly EngineView[] =>
  [...engines].sort(
    (a, b) => a.running + a.prefillTokens - b.running - b.prefillTokens,
  );

/**
 * The least busy decode engines that can be spared. Each data centre keeps
 * one, so that it can go on when it is cut off from the others.
 */
const spareMakers = (
  makers: readonly EngineView[],
  count: number,
): readonly EngineView[] => {
  const left = countByDataCenter(makers);
  const spared: EngineView[] = [];
  for (const engine of leastBusy(makers)) {
    const others = (left.get(engine.dataCenter) ?? 0) - 1;
    if (others < 1 || spared.length >= count) continue;
    left.set(engine.dataCenter, others);
    spared.push(engine);
  }
  return spared;
};

/** A prefill engine of a data centre that has several, but none to decode. */
const engineForUnserved = (
  readers: readonly EngineView[],
  makers: readonly EngineView[],
): EngineView | undefined => {
  const served = countByDataCenter(makers);
  const reading = countByDataCenter(readers);
  return leastBusy(readers).find(
    ({ dataCenter }) =>
      !served.has(dataCenter) && (reading.get(dataCenter) ?? 0) > 1,
  );
};

const countByDataCenter = (
  engines: readonly EngineView[],
): Map<string, number> => {
  const counts = new Map<string, number>();
  for (const { dataCenter } of engines) {
    counts.set(dataCenter, (counts.get(dataCenter) ?? 0) + 1);
  }
  return counts;
};
