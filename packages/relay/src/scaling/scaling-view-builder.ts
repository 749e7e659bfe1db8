/** Builds the input of the scaling policy from what this instance knows. */
import type { EraTracker, InstanceRegistry } from '@medlarlever/core';

import type { TableWatcher } from '../change-streams/table-watcher.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { PrefillDemand } from '../roles/prefill-demand.js';
import type {
  ScalingSettings,
  Service,
} from '../routes/route-configuration.js';
import { registrationGraceMs } from '../targets/target-registry.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetState } from '../targets/target-state.js';

import type {
  DataCenterView,
  KindView,
  ScalingView,
  TargetCapacity,
} from './scaling-view.js';

/** Time after a restore of the store in which targets register again. */
const restoreSettlingMs = 2 * registrationGraceMs;

/**
 * Time after which instances out of reach no longer keep targets from being ordered:
 * those that were replaced stay known, and callers must not wait for them.
 */
const unreachedPauseMs = 60_000;

/** Time after which an instance out of reach is held to have ended for good. */
const endedAfterMs = 600_000;

/** Parts that the view is taken from. */
export interface ScalingViewBuilderOptions {
  readonly targets: TargetRegistry;
  readonly services: ServiceStates;
  readonly demand: PrefillDemand;
  readonly instances: InstanceRegistry;
  readonly eras: Pick<EraTracker, 'sinceMs' | 'changeCount'>;
  readonly targetWatcher: Pick<TableWatcher, 'knownForMs'>;
  /** Returns true while this instance reaches no target. */
  readonly isCutOff: () => boolean;
}

/** A service whose targets can be ordered. */
export interface ScaledService extends Service {
  readonly scaling: ScalingSettings;
}

/** Builds views of one deployment. */
export class ScalingViewBuilder {
  readonly #options: ScalingViewBuilderOptions;

  constructor(options: ScalingViewBuilderOptions) {
    this.#options = options;
  }

  /** Builds the view of the service as of now. */
  build(service: ScaledService): ScalingView {
    const targets = this.#options.targets
      .listTargets()
      .filter(({ record }) => record.service === service.name);
    const openTargets = targets.filter(({ isLeaving }) => !isLeaving);
    return {
      nowMs: performance.now(),
      settings: service.scaling,
      capacity: this.#measureCapacity(service, openTargets),
      dataCenters: this.#buildDataCenters(service, targets),
      waitingTokens: this.#countWaitingTokens(service, openTargets),
      isDemandPartial: this.#isMostOutOfReach(endedAfterMs),
      obstacle: this.#findObstacle(),
    };
  }

  #measureCapacity(
    { name, engine }: ScaledService,
    targets: readonly TargetState[],
  ): TargetCapacity {
    const state = this.#options.services.getState(name);
    const slots = engine?.slots ?? targets[0]?.record.slots ?? 1;
    const tokensPerRequest = state.prefillTokensAverage.value ?? 1;
    const requestsInMemory =
      (engine?.kvTokens ?? Infinity) / Math.max(1, tokensPerRequest);
    return {
      isEngine: engine !== undefined,
      prefillTokensPerMs: state.prefillSpeed.throughputTokensPerMs,
      requestsPerTarget: Math.max(
        1,
        Math.floor(Math.min(slots, requestsInMemory)),
      ),
      eventGapMs: state.eventGapAverage.value,
    };
  }

  #buildDataCenters(
    { name: service, scaling }: ScaledService,
    targets: readonly TargetState[],
  ): readonly DataCenterView[] {
    const rates = this.#sumRatesByDataCenter(service);
    const names = new Set([
      ...Object.keys(scaling.prices),
      ...targets.map(({ record }) => record.dataCenter),
      ...rates.keys(),
    ]);
    return [...names].map(name => {
      const local = targets.filter(({ record }) => record.dataCenter === name);
      return {
        name,
        onDemand: countTargets(local, false),
        spot: countTargets(local, true),
        prefillTokensPerSecond: rates.get(name) ?? 0,
        runningRequests: local
          .filter(({ isLeaving }) => !isLeaving)
          .reduce((sum, state) => sum + state.activeRequestCount, 0),
      };
    });
  }

  /** Callers reach an instance of their own data centre, so its demand is theirs. */
  #sumRatesByDataCenter(service: string): ReadonlyMap<string, number> {
    const { demand, instances } = this.#options;
    const rates = new Map<string, number>();
    for (const [instance, rate] of demand.listBurstRates(service)) {
      const dataCenter = instances.findInstance(instance)?.dataCenter;
      if (dataCenter === undefined || rate === 0) continue;
      rates.set(dataCenter, (rates.get(dataCenter) ?? 0) + rate);
    }
    return rates;
  }

  /** Every engine has a prompt of mean length; what exceeds it waits. */
  #countWaitingTokens(
    { name, engine }: ScaledService,
    targets: readonly TargetState[],
  ): number {
    if (engine === undefined) return 0;
    const { prefillTokensAverage } = this.#options.services.getState(name);
    return targets.reduce(
      (sum, { pendingPrefillTokens }) =>
        sum +
        Math.max(0, pendingPrefillTokens - (prefillTokensAverage.value ?? 0)),
      0,
    );
  }

  #findObstacle(): string | undefined {
    const { isCutOff, targetWatcher, eras } = this.#options;
    if (isCutOff()) return 'this instance reaches no target';
    if (targetWatcher.knownForMs < registrationGraceMs)
      return 'the registrations of targets are not known for long enough';
    const sinceRestoreMs = performance.now() - eras.sinceMs;
    if (eras.changeCount > 0 && sinceRestoreMs < restoreSettlingMs)
      return 'the store was restored';
    return this.#isMostOutOfReach(unreachedPauseMs)
      ? 'most instances are out of reach'
      : undefined;
  }

  /** Counts the instances out of reach that were heard of in the last `windowMs`. */
  #isMostOutOfReach(windowMs: number): boolean {
    const instances = this.#options.instances.listInstances();
    const live = instances.filter(({ state }) => state === 'live');
    const unreached = instances.filter(
      ({ state, lastSeenMs }) =>
        state === 'suspected' && Date.now() - lastSeenMs < windowMs,
    );
    return unreached.length > 0 && unreached.length >= live.length;
  }
}

const countTargets = (
  targets: readonly TargetState[],
  isSpot: boolean,
): KindView => {
  const ofKind = targets.filter(
    ({ record }) => (record.isSpot ?? false) === isSpot,
  );
  const leaving = ofKind.filter(({ isLeaving }) => isLeaving).length;
  return { open: ofKind.length - leaving, leaving };
};
