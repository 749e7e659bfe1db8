/**
 * Runs the role policy periodically and starts the role changes that it
 * decides.
 */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import type {
  FleetView,
  RoleChange,
  RoleDecision,
  RolePolicy,
} from './role-policy.js';

/** Provides the fleet view on which a decision is based. */
export abstract class FleetViewSource {
  /** Fails if this instance has no authority to decide or lacks data. */
  abstract loadView(): Promise<Either<Failure, FleetView>>;
}

/** Carries out role changes on the engines. */
export abstract class RoleChanger {
  /** Resolves when the change is complete or certainly did not happen. */
  abstract changeRole(change: RoleChange): Promise<Either<Failure, void>>;
}

/**
 * A decision with its time in epoch milliseconds and the changes that failed.
 */
export interface RoleDecisionRecord {
  readonly atMs: number;
  readonly decision: RoleDecision;
  /** Engine and reason of each change that was not carried out. */
  readonly failures: readonly string[];
}

export interface RoleControllerOptions {
  readonly policy: RolePolicy;
  readonly viewSource: FleetViewSource;
  readonly roleChanger: RoleChanger;
  readonly log: Log;
  readonly random: () => number;
  /**
   * Time between two decisions in milliseconds; 2,000 by default, with jitter.
   */
  readonly periodMs?: number;
}

const defaultPeriodMs = 2_000;
/** Number of decisions that are kept. */
const maxRecords = 64;

/**
 * Decides about role changes once per period and keeps a record of the last
 * decisions.
 */
export class RoleController {
  readonly #options: RoleControllerOptions;
  readonly #records: RoleDecisionRecord[] = [];
  readonly #changingEngines = new Set<string>();

  constructor(options: RoleControllerOptions) {
    this.#options = options;
  }

  /** The last decisions, from the oldest to the newest. */
  get records(): readonly RoleDecisionRecord[] {
    return this.#records;
  }

  /** Makes one decision per period until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { periodMs = defaultPeriodMs, random } = this.#options;
    while (await sleep(addJitter(periodMs, random), signal)) {
      try {
        await this.#decideChanges();
      } catch (error) {
        this.#options.log.writeEvent('defect', { error: String(error) });
      }
    }
  }

  async #decideChanges(): Promise<void> {
    const view = await this.#options.viewSource.loadView();
    view.caseOf({
      Left: failure => {
        this.#recordDecision({ changes: [], explanation: failure.message }, []);
      },
      Right: fleetView => {
        this.#startChanges(this.#options.policy.decideChanges(fleetView));
      },
    });
  }

  /**
   * Starts the changes without waiting for them, so that a slow change does not
   * delay later decisions.
   */
  #startChanges(decision: RoleDecision): void {
    const failures: string[] = [];
    this.#recordDecision(decision, failures);
    for (const change of decision.changes) {
      if (this.#changingEngines.has(change.engine)) continue;
      this.#options.log.writeEvent('role_decided', { ...change });
      void this.#performChange(change, failures);
    }
  }

  async #performChange(change: RoleChange, failures: string[]): Promise<void> {
    this.#changingEngines.add(change.engine);
    try {
      const outcome = await this.#options.roleChanger.changeRole(change);
      outcome.ifLeft(failure => {
        failures.push(`${change.engine}: ${failure.message}`);
      });
    } catch (error) {
      failures.push(`${change.engine}: ${String(error)}`);
      this.#options.log.writeEvent('defect', { error: String(error) });
    } finally {
      this.#changingEngines.delete(change.engine);
    }
  }

  #recordDecision(decision: RoleDecision, failures: readonly string[]): void {
    this.#records.push({ atMs: Date.now(), decision, failures });
    if (this.#records.length > maxRecords) this.#records.shift();
  }
}
