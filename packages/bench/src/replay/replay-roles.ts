/** Role decisions in a replay: the picture, and changes of fake engines. */
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

/** Age of the demand that instances tell each other. */
const demandLagMs = 1_000;

/** Builds the picture from lagged reports and the instances' demand. */
export class ReplayFleetViewSource extends FleetViewSource {
  readonly #fleet: ReplayFleet;
  readonly #instances: readonly EntryInstance[];
  readonly #loadEstimator: LoadEstimator;

  constructor(
    fleet: ReplayFleet,
    instances: readonly EntryInstance[],
    book: LoadEstimator,
  ) {
    super();
    this.#fleet = fleet;
    this.#instances = instances;
    this.#loadEstimator = book;
  }

  override loadView(): Promise<Either<Failure, FleetView>> {
    const engines = this.#fleet.engines.map(engine =>
      this.#createEngineView(engine),
    );
    const dataCenters = [...new Set(engines.map(e => e.dataCenter))];
    const demand = dataCenters.map(name => this.#computeDemand(name));
    return Promise.resolve(Right({ nowMs: Date.now(), engines, demand }));
  }

  #createEngineView(engine: ReplayEngine): EngineView {
    const { name, dataCenter } = engine;
    const report = this.#loadEstimator.findRecentReport(name);
    const leaving = this.#fleet.leavingEngines.has(name);
    return {
      name,
      dataCenter,
      role: report?.role ?? engine.role,
      available: !leaving && (report?.accepting ?? false),
      ageMs: report === undefined ? Infinity : Date.now() - report.atMs,
      prefillTokens: report?.prefillTokens ?? 0,
      running: report?.running ?? 0,
      slots: report?.slots ?? 1,
      inRoleMs: Date.now() - engine.roleStartedAtMs,
    };
  }

  #computeDemand(dataCenter: string): DemandView {
    const rates = this.#instances
      .filter(instance => instance.dataCenter === dataCenter)
      .map(instance => instance.demandMeter.computeRates());
    const sum = (pick: (rate: (typeof rates)[number]) => number) =>
      rates.reduce((total, rate) => total + pick(rate), 0);
    return {
      dataCenter,
      prefillRate: sum(rate => rate.prefillRate),
      decodeRate: sum(rate => rate.decodeRate),
      requestRate: sum(rate => rate.requestRate),
      ageMs: demandLagMs,
    };
  }
}

/** A role change as it happened. */
export interface RoleChangeRecord {
  readonly atMs: number;
  readonly engine: string;
  readonly to: string;
  /** Time from closing the engine to its return. */
  unavailableMs: number;
}

export interface ReplayRoleChangerOptions {
  readonly fleet: ReplayFleet;
  readonly requestHold: RequestHold;
  readonly roleChangeMs: number;
  /** Time of a change back to the role held before, when it stays staged. */
  readonly stagedChangeMs?: number;
}

/** Closes an engine, drains it, changes its role and opens it again. */
export class ReplayRoleChanger extends RoleChanger {
  readonly changeRecords: RoleChangeRecord[] = [];
  readonly #options: ReplayRoleChangerOptions;
  readonly #previousRoles = new Map<string, string>();

  constructor(options: ReplayRoleChangerOptions) {
    super();
    this.#options = options;
  }

  override async changeRole(
    change: RoleChange,
  ): Promise<Either<Failure, void>> {
    const { fleet, requestHold: hold } = this.#options;
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
    hold.beginChange(engine.dataCenter);
    const changeMs = this.#computeChangeMs(engine, change);
    this.#previousRoles.set(engine.name, engine.role);
    await engine.changeRole(change.to, changeMs);
    hold.endChange(engine.dataCenter);
    fleet.leavingEngines.delete(engine.name);
    record.unavailableMs = Date.now() - atMs;
    return Right(undefined);
  }

  #computeChangeMs(engine: ReplayEngine, change: RoleChange): number {
    const { roleChangeMs, stagedChangeMs = roleChangeMs } = this.#options;
    const staged = this.#previousRoles.get(engine.name) === change.to;
    return staged ? stagedChangeMs : roleChangeMs;
  }
}
