/** Asks the role policy from time to time and hands its changes on. */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';

import type {
  FleetView,
  RoleChange,
  RoleDecision,
  RolePolicy,
} from './role-policy.js';

/** Builds the picture that a decision rests on. */
export abstract class FleetViewSource {
  /** Fails when this instance may not or cannot decide now. */
  abstract view(): Promise<Either<Failure, FleetView>>;
}

/** Carries out role changes under the system's authority. */
export abstract class RoleChanger {
  /** Resolves once the change is done or has certainly not happened. */
  abstract change(change: RoleChange): Promise<Either<Failure, void>>;
}

/** A decision with its time and what became of its changes. */
export interface RoleRecord {
  readonly atMs: number;
  readonly decision: RoleDecision;
  /** Changes that were not carried out, with the reason. */
  readonly failures: readonly string[];
}

export interface RoleControllerOptions {
  readonly policy: RolePolicy;
  readonly source: FleetViewSource;
  readonly changer: RoleChanger;
  readonly log: Log;
  readonly random: () => number;
  readonly periodMs?: number;
}

const defaultPeriodMs = 2_000;
const keptRecords = 64;

export class RoleController {
  readonly #options: RoleControllerOptions;
  readonly #records: RoleRecord[] = [];
  readonly #changing = new Set<string>();

  constructor(options: RoleControllerOptions) {
    this.#options = options;
  }

  /** The last decisions, newest last. */
  get records(): readonly RoleRecord[] {
    return this.#records;
  }

  /** Decides once a period until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { periodMs = defaultPeriodMs, random } = this.#options;
    while (await sleep(jittered(periodMs, random), signal)) {
      try {
        await this.#decide();
      } catch (error) {
        this.#options.log.event('defect', { error: String(error) });
      }
    }
  }

  async #decide(): Promise<void> {
    const view = await this.#options.source.view();
    view.caseOf({
      Left: failure => {
        this.#remember({ changes: [], explanation: failure.message }, []);
      },
      Right: picture => {
        this.#apply(this.#options.policy.decide(picture));
      },
    });
  }

  /** Starts the changes; a slow one does not stop later decisions. */
  #apply(decision: RoleDecision): void {
    const failures: string[] = [];
    this.#remember(decision, failures);
    for (const change of decision.changes) {
      if (this.#changing.has(change.engine)) continue;
      this.#options.log.event('role_decided', { ...change });
      void this.#carryOut(change, failures);
    }
  }

  async #carryOut(change: RoleChange, failures: string[]): Promise<void> {
    this.#changing.add(change.engine);
    try {
      const outcome = await this.#options.changer.change(change);
      outcome.ifLeft(failure => {
        failures.push(`${change.engine}: ${failure.message}`);
      });
    } catch (error) {
      failures.push(`${change.engine}: ${String(error)}`);
      this.#options.log.event('defect', { error: String(error) });
    } finally {
      this.#changing.delete(change.engine);
    }
  }

  #remember(decision: RoleDecision, failures: readonly string[]): void {
    this.#records.push({ atMs: Date.now(), decision, failures });
    if (this.#records.length > keptRecords) this.#records.shift();
  }
}
