/** Role control in a replay: the fleet view, and role changes of the engines. */
import { FleetViewSource, RoleChanger } from '@medlarlever/core';
import type {
  DemandView,
  EngineView,
  Failure,
  FleetView,
  LoadEstimator,
  RoleChange,
} from '@medlarlever/core';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { EntryInstance } from './entry-instance.js';
import type { ReplayEngine } from './replay-engine.js';
import type { ReplayFleet } from './replay-fleet.js';
import type { RequestHold } from './request-hold.js';

/** Assumed age of the demand that instances report to each other. */
const demandLagMs = 1_000;

/** Creates the fleet view from lagging load reports and measured demand. */
export class ReplayFleetViewSource extends FleetViewSource {
  readonly #fleet: ReplayFleet;
  readonly #instances: readonly EntryInstance[];
  readonly #loadEstimator: LoadEstimator;

  constructor(
    fleet: ReplayFleet,
    instances: readonly EntryInstance[],
    loadEstimator: LoadEstimator,
  ) {
    super();
    this.#fleet = fleet;
    this.#instances = instances;
    this.#loadEstimator = loadEstimator;
  }

  override loadView(): Promise<Either<Failure, FleetView>> {
    const engines = this.#fleet.engines.map(engine =>
      this.#createEngineView(engine),
    );
    const dataCenters = [...new Set(engines.map(engine => engine.dataCenter))];
    const demand = dataCenters.map(name => this.#computeDemand(name));
    return Promise.resolve(Right({ nowMs: Date.now(), engines, demand }));
  }

  #createEngineView(engine: ReplayEngine): EngineView {
    const { name, dataCenter } = engine;
    const report = this.#loadEstimator.findRecentReport(name);
    const isLeaving = this.#fleet.leavingEngines.has(name);
    return {
      name,
      dataCenter,
      role: report?.role ?? engine.role,
      available: !isLeaving && (report?.accepting ?? false),
      ageMs: report === undefined ? Infinity : Date.now() - report.atMs,
      prefillTokens: report?.prefillTokens ?? 0,
      running: report?.running ?? 0,
      slots: report?.slots ?? 1,
      inRoleMs: Date.now() - engine.roleStartedAtMs,
    };
  }

  #computeDemand(dataCenter: string): DemandView {
    const ratesByInstance = this.#instances
      .filter(instance => instance.dataCenter === dataCenter)
      .map(instance => instance.demandMeter.computeRates());
    const sum = (
      getRate: (instanceRates: (typeof ratesByInstance)[number]) => number,
    ) =>
      ratesByInstance.reduce(
        (total, instanceRates) => total + getRate(instanceRates),
        0,
      );
    return {
      dataCenter,
      prefillRate: sum(instanceRates => instanceRates.prefillRate),
      decodeRate: sum(instanceRates => instanceRates.decodeRate),
      requestRate: sum(instanceRates => instanceRates.requestRate),
      ageMs: demandLagMs,
    };
  }
}

/** Record of one role change. */
export interface RoleChangeRecord {
  /** Start of the change, in milliseconds since the start of the replay. */
  readonly atMs: number;
  readonly engine: string;
  /** The new role. */
  readonly to: string;
  /**
   * Milliseconds for which the engine got no new requests because of the
   * change; 0 until the change has ended.
   */
  unavailableMs: number;
}

/** Dependencies of the role changer. */
export interface ReplayRoleChangerOptions {
  readonly fleet: ReplayFleet;
  readonly requestHold: RequestHold;
  /** Milliseconds of a role change after the drain. */
  readonly roleChangeMs: number;
  /**
   * Milliseconds of a change back to the previous role after the drain, when the
   * engine keeps that role staged; `roleChangeMs` by default.
   */
  readonly stagedChangeMs?: number;
}

/** Stops new requests to an engine, drains it and changes its role. */
export class ReplayRoleChanger extends RoleChanger {
  readonly changeRecords: RoleChangeRecord[] = [];
  readonly #options: ReplayRoleChangerOptions;
  /** Role of each engine before its latest role change, by engine name. */
  readonly #previousRoles = new Map<string, string>();

  constructor(options: ReplayRoleChangerOptions) {
    super();
    this.#options = options;
  }

  override async changeRole(
    change: RoleChange,
  ): Promise<Either<Failure, void>> {
    const { fleet, requestHold } = this.#options;
    const engine = fleet.findEngine(change.engine);
    if (engine === undefined) return Right(undefined);
    const atMs = Date.now();
    const record = {
      atMs,
      engine: engine.name,
      to: change.to,
      unavailableMs: 0,
    };
    this.changeRecords.push(record);
    fleet.leavingEngines.add(engine.name);
    requestHold.beginChange(engine.dataCenter);
    const changeMs = this.#computeChangeMs(engine, change);
    this.#previousRoles.set(engine.name, engine.role);
    await engine.changeRole(change.to, changeMs);
    requestHold.endChange(engine.dataCenter);
    fleet.leavingEngines.delete(engine.name);
    record.unavailableMs = Date.now() - atMs;
    return Right(undefined);
  }

  #computeChangeMs(engine: ReplayEngine, change: RoleChange): number {
    const { roleChangeMs, stagedChangeMs = roleChangeMs } = this.#options;
    const isStaged = this.#previousRoles.get(engine.name) === change.to;
    return isStaged ? stagedChangeMs : roleChangeMs;
  }
}
