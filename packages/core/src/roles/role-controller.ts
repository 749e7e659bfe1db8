/** Asks the role policy from time to time and hands its changes on. */
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

/** Builds the picture that a decision rests on. */
export abstract class FleetViewSource {
  /** Fails when this instance may not or cannot decide now. */
  abstract loadView(): Promise<Either<Failure, FleetView>>;
}

/** Carries out role changes under the system's authority. */
export abstract class RoleChanger {
  /** Resolves once the change is done or has certainly not happened. */
  abstract changeRole(change: RoleChange): Promise<Either<Failure, void>>;
}

/** A decision with its time and what became of its changes. */
export interface RoleDecisionRecord {
  readonly atMs: number;
  readonly decision: RoleDecision;
  /** Changes that were not carried out, with the reason. */
  readonly failures: readonly string[];
}

export interface RoleControllerOptions {
  readonly policy: RolePolicy;
  readonly viewSource: FleetViewSource;
  readonly roleChanger: RoleChanger;
  readonly log: Log;
  readonly random: () => number;
  readonly periodMs?: number;
}

const defaultPeriodMs = 2_000;
const maxRecords = 64;

export class RoleController {
  readonly #options: RoleControllerOptions;
  readonly #records: RoleDecisionRecord[] = [];
  readonly #changingEngines = new Set<string>();

  constructor(options: RoleControllerOptions) {
    this.#options = options;
  }

  /** The last decisions, newest last. */
  get records(): readonly RoleDecisionRecord[] {
    return this.#records;
  }

  /** Decides once a period until the signal aborts. */
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
      Right: picture => {
        this.#startChanges(this.#options.policy.decideChanges(picture));
      },
    });
  }

  /** Starts the changes; a slow one does not stop later decisions. */
  #startChanges(decision: RoleDecision): void {
    const failures: string[] = [];
    this.#recordDecision(decision, failures);
    for (const change of decision.changes) {
      if (this.#changingEngines.has(change.engine)) continue;
      this.#options.log.writeEvent('role_decided', { ...change });
      void this.#carryOutChange(change, failures);
    }
  }

  async #carryOutChange(change: RoleChange, failures: string[]): Promise<void> {
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
