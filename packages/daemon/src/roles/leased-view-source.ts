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

import type { Demand } from './demand-tracker.js';

export interface ViewSourceOptions {
  readonly lease: PlanLease;
  readonly directory: TargetDirectory;
  readonly loads: LoadEstimator;
  readonly demand: Demand;
}

/** Role of an engine and since when it was seen in it. */
interface SeenRole {
  readonly role: EngineRole;
  readonly sinceMs: number;
}

export class LeasedViewSource extends FleetViewSource {
  readonly #options: ViewSourceOptions;
  readonly #seen = new Map<string, SeenRole>();

  constructor(options: ViewSourceOptions) {
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
      .map(entry => this.#engine(entry));
    const view = await demand.view();
    return Right({ nowMs: Date.now(), engines, demand: [view] });
  }

  #engine({ target, isLeaving: leaving }: TargetEntry<Engine>): EngineView {
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
      inRoleMs: this.#inRoleMs(target.name, role),
    };
  }

  #inRoleMs(name: string, role: EngineRole): number {
    const nowMs = Date.now();
    const seen = this.#seen.get(name);
    if (seen?.role === role) return nowMs - seen.sinceMs;
    this.#seen.set(name, { role, sinceMs: nowMs });
    return 0;
  }
}
