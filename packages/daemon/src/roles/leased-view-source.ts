/** The picture of this data centre on which role decisions rest. */
import { Failure, FleetViewSource } from '@medlarlever/core';
import type {
  TargetEntry,
  Engine,
  EngineView,
  FleetView,
  LoadEstimator,
  PlanLease,
  EngineRole,
  TargetDirectory,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { DemandTracker } from './demand-tracker.js';

export interface LeasedViewSourceOptions {
  readonly lease: PlanLease;
  readonly directory: TargetDirectory;
  readonly loads: LoadEstimator;
  readonly demand: DemandTracker;
}

/** Role of an engine and since when it was seen in it. */
interface ObservedRole {
  readonly role: EngineRole;
  readonly sinceMs: number;
}

export class LeasedViewSource extends FleetViewSource {
  readonly #options: LeasedViewSourceOptions;
  readonly #observedRoles = new Map<string, ObservedRole>();

  constructor(options: LeasedViewSourceOptions) {
    super();
    this.#options = options;
  }

  /** Fails at an instance that does not hold the data centre's lease. */
  override async loadView(): Promise<Either<Failure, FleetView>> {
    const { lease, directory, demand } = this.#options;
    const held = await lease.acquireLease();
    if (held.isNothing()) {
      return Left(new Failure('authority_lost', 'another instance decides'));
    }
    const engines = directory
      .listEngines()
      .filter(({ isLocal: local }) => local)
      .map(entry => this.#buildEngineView(entry));
    const view = await demand.collectDemand();
    return Right({ nowMs: Date.now(), engines, demand: [view] });
  }

  #buildEngineView({
    target,
    isLeaving: leaving,
  }: TargetEntry<Engine>): EngineView {
    const report = this.#options.loads.findRecentReport(target.name);
    const role = report?.role ?? 'mixed';
    return {
      name: target.name,
      dataCenter: target.dataCenter,
      role,
      available: !leaving && (report?.accepting ?? false),
      ageMs: report === undefined ? Infinity : Date.now() - report.atMs,
      prefillTokens: report?.prefillTokens ?? 0,
      running: report?.running ?? 0,
      slots: report?.slots ?? 1,
      inRoleMs: this.#measureTimeInRoleMs(target.name, role),
    };
  }

  #measureTimeInRoleMs(name: string, role: EngineRole): number {
    const nowMs = Date.now();
    const seen = this.#observedRoles.get(name);
    if (seen?.role === role) return nowMs - seen.sinceMs;
    this.#observedRoles.set(name, { role, sinceMs: nowMs });
    return 0;
  }
}
