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
import type { ReplayHold } from './request-hold.js';

/** Age of the demand that instances tell each other. */
const demandLagMs = 1_000;

/** Builds the picture from lagged reports and the instances' demand. */
export class ReplayViewSource extends FleetViewSource {
  readonly #fleet: ReplayFleet;
  readonly #instances: readonly EntryInstance[];
  readonly #book: LoadEstimator;

  constructor(
    fleet: ReplayFleet,
    instances: readonly EntryInstance[],
    book: LoadEstimator,
  ) {
    super();
    this.#fleet = fleet;
    this.#instances = instances;
    this.#book = book;
  }

  override loadView(): Promise<Either<Failure, FleetView>> {
    const engines = this.#fleet.engines.map(engine => this.#engine(engine));
    const dataCenters = [...new Set(engines.map(e => e.dataCenter))];
    const demand = dataCenters.map(name => this.#demand(name));
    return Promise.resolve(Right({ nowMs: Date.now(), engines, demand }));
  }

  #engine(engine: ReplayEngine): EngineView {
    const { name, dataCenter } = engine;
    const report = this.#book.findRecentReport(name);
    const leaving = this.#fleet.leaving.has(name);
    return {
      name,
      dataCenter,
      role: report?.role ?? engine.role,
      available: !leaving && (report?.accepting ?? false),
      ageMs: report === undefined ? Infinity : Date.now() - report.atMs,
      prefillTokens: report?.prefillTokens ?? 0,
      running: report?.running ?? 0,
      slots: report?.slots ?? 1,
      inRoleMs: Date.now() - engine.roleSinceMs,
    };
  }

  #demand(dataCenter: string): DemandView {
    const rates = this.#instances
      .filter(instance => instance.dataCenter === dataCenter)
      .map(instance => instance.demand.computeRates());
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
export interface ChangeRecord {
  readonly atMs: number;
  readonly engine: string;
  readonly to: string;
  /** Time from closing the engine to its return. */
  awayMs: number;
}

export interface ReplayChangerOptions {
  readonly fleet: ReplayFleet;
  readonly hold: ReplayHold;
  readonly roleChangeMs: number;
  /** Time of a change back to the role held before, when it stays staged. */
  readonly stagedChangeMs?: number;
}

/** Closes an engine, drains it, changes its role and opens it again. */
export class ReplayChanger extends RoleChanger {
  readonly records: ChangeRecord[] = [];
  readonly #options: ReplayChangerOptions;
  readonly #earlierRole = new Map<string, string>();

  constructor(options: ReplayChangerOptions) {
    super();
    this.#options = options;
  }

  override async changeRole(
    change: RoleChange,
  ): Promise<Either<Failure, void>> {
    const { fleet, hold } = this.#options;
    const engine = fleet.find(change.engine);
    if (engine === undefined) return Right(undefined);
    const atMs = Date.now();
    const record = { atMs, engine: engine.name, to: change.to, awayMs: 0 };
    this.records.push(record);
    fleet.leaving.add(engine.name);
    hold.begin(engine.dataCenter);
    const changeMs = this.#changeMs(engine, change);
    this.#earlierRole.set(engine.name, engine.role);
    await engine.changeRole(change.to, changeMs);
    hold.end(engine.dataCenter);
    fleet.leaving.delete(engine.name);
    record.awayMs = Date.now() - atMs;
    return Right(undefined);
  }

  #changeMs(engine: ReplayEngine, change: RoleChange): number {
    const { roleChangeMs, stagedChangeMs = roleChangeMs } = this.#options;
    const staged = this.#earlierRole.get(engine.name) === change.to;
    return staged ? stagedChangeMs : roleChangeMs;
  }
}
