/** Builds the view of this data centre on which role decisions are based. */
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
  readonly loadEstimator: LoadEstimator;
  readonly demandTracker: DemandTracker;
}

/** Role of an engine and the time at which this instance first saw that role. */
interface ObservedRole {
  readonly role: EngineRole;
  /** Milliseconds since the Unix epoch. */
  readonly sinceMs: number;
}

/**
 * View source that works only on the instance that holds the lease of its data
 * centre, so that a single instance decides on roles.
 */
export class LeasedViewSource extends FleetViewSource {
  readonly #options: LeasedViewSourceOptions;
  readonly #observedRoles = new Map<string, ObservedRole>();

  constructor(options: LeasedViewSourceOptions) {
    super();
    this.#options = options;
  }

  /**
   * Builds the view. Fails with `authority_lost` if this instance neither holds
   * the lease of the data centre nor can acquire it.
   */
  override async loadView(): Promise<Either<Failure, FleetView>> {
    const { lease, directory, demandTracker } = this.#options;
    const heldLease = await lease.acquireLease();
    if (heldLease.isNothing()) {
      return Left(
        new Failure(
          'authority_lost',
          'another instance holds the lease of the data centre',
        ),
      );
    }
    const engines = directory
      .listEngines()
      .filter(({ isLocal }) => isLocal)
      .map(entry => this.#buildEngineView(entry));
    const demandView = await demandTracker.collectDemand();
    return Right({ nowMs: Date.now(), engines, demand: [demandView] });
  }

  #buildEngineView({ target, isLeaving }: TargetEntry<Engine>): EngineView {
    const report = this.#options.loadEstimator.findRecentReport(target.name);
    const role = report?.role ?? 'mixed';
    return {
      name: target.name,
      dataCenter: target.dataCenter,
      role,
      available: !isLeaving && (report?.accepting ?? false),
      ageMs: report === undefined ? Infinity : Date.now() - report.atMs,
      prefillTokens: report?.prefillTokens ?? 0,
      running: report?.running ?? 0,
      slots: report?.slots ?? 1,
      inRoleMs: this.#measureTimeInRoleMs(target.name, role),
    };
  }

  /** Returns the time since this instance first saw the engine in its role. */
  #measureTimeInRoleMs(name: string, role: EngineRole): number {
    const nowMs = Date.now();
    const observedRole = this.#observedRoles.get(name);
    if (observedRole?.role === role) return nowMs - observedRole.sinceMs;
    this.#observedRoles.set(name, { role, sinceMs: nowMs });
    return 0;
  }
}
