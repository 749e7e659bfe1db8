/** Carries the plans of one data centre on, under that data centre's lease. */
import type { Maybe } from 'purify-ts';

import type { TargetDirectory } from '../membership/target-directory.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';
import type { Write } from '../table/table.js';
import { Engine } from '../target/target.js';
import type { OrderAction, Target } from '../target/target.js';

import type { Closing } from './target-closer.js';
import type { OrderProgress } from './plan-command-runner.js';
import { needsOrder } from './maintenance-plan.js';
import type { Plan, PlanRequest } from './maintenance-plan.js';
import type { PlanStore, StoredPlan } from './plan-store.js';

/** Between looks while plans are open, and while none is. */
const busyPeriodMs = 500;
const idlePeriodMs = 2_000;

/** Authority over the plans of a data centre. */
export interface PlanAuthority {
  /** True while it is worth trying; the guard is what protects. */
  readonly held: boolean;
  /** Makes a transaction fail once the authority has passed on. */
  guard(): Write;
}

/** Starts a plan's order or says how far it is. */
export type OrderStep = (plan: Plan, action: OrderAction) => OrderProgress;

/** Takes the authority when it is free; `Nothing` while another has it. */
export type AuthoritySource = () => Promise<Maybe<PlanAuthority>>;

export interface PlanRunnerOptions {
  readonly dataCenter: string;
  readonly store: PlanStore;
  readonly closing: Closing;
  readonly directory: TargetDirectory;
  readonly authority: AuthoritySource;
  readonly order: OrderStep;
  readonly log: Log;
  readonly random: () => number;
}

type Change = Parameters<PlanStore['change']>[1];

export class PlanRunner {
  readonly #options: PlanRunnerOptions;
  readonly #stopping = new AbortController();

  constructor(options: PlanRunnerOptions) {
    this.#options = options;
  }

  /** Moves plans on until stopped. */
  async run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const open = await this.round().catch((error: unknown) => {
        const reason = String(error);
        this.#options.log.event('step_failed', { step: 'plans', reason });
        return 0;
      });
      const periodMs = open > 0 ? busyPeriodMs : idlePeriodMs;
      await sleep(jittered(periodMs, this.#options.random), signal);
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  /**
   * Moves each open plan of the data centre on by at most one state and says
   * how many there are.
   */
  async round(): Promise<number> {
    const open = (await this.#options.store.open()).orDefault([]);
    const mine = open.filter(
      ({ plan }) => plan.dataCenter === this.#options.dataCenter,
    );
    if (mine.length === 0) return 0;
    const authority = (await this.#options.authority()).extract();
    if (authority === undefined) return mine.length;
    for (const stored of mine) {
      if (!authority.held) break;
      await this.#advance(stored, authority);
    }
    return mine.length;
  }

  async #advance(stored: StoredPlan, authority: PlanAuthority): Promise<void> {
    const change = await this.#next(stored.plan);
    if (change === undefined || isSame(stored.plan, change)) return;
    const guards = [authority.guard()];
    const moved = await this.#options.store.change(stored, change, guards);
    moved.ifRight(({ plan }) => {
      this.#options.log.event('plan_changed', {
        plan: plan.id,
        target: plan.request.target,
        state: plan.state,
        waitingOn: plan.waitingOn,
      });
    });
  }

  async #next(plan: Plan): Promise<Change | undefined> {
    switch (plan.state) {
      case 'closing':
      case 'waiting':
        return this.#close(plan);
      case 'acting':
        return this.#act(plan);
      case 'closed':
        return this.#watch(plan);
      case 'cancelling':
        return { state: 'cancelled', waitingOn: [] };
      default:
        return undefined;
    }
  }

  /** Goes on only when all acknowledged and nothing runs any more. */
  async #close(plan: Plan): Promise<Change> {
    const { target } = plan.request;
    const { unacknowledged, running } =
      await this.#options.closing.round(target);
    if (unacknowledged.length > 0) {
      return {
        state: 'closing',
        waitingOn: unacknowledged.map(name => `instance ${name}`),
      };
    }
    const reported = await this.#runningAt(plan);
    const left = Math.max(running, reported);
    if (left > 0) {
      return { state: 'waiting', waitingOn: [`${left} running requests`] };
    }
    const next = needsOrder(plan.request) ? 'acting' : 'closed';
    return { state: next, waitingOn: [] };
  }

  /** What the engine itself says; a vanished target runs nothing. */
  async #runningAt({ request }: Plan): Promise<number> {
    const target = this.#target(request.target);
    if (!(target instanceof Engine)) return 0;
    const load = await target.load();
    return load.map(({ running, queued }) => running + queued).orDefault(0);
  }

  #act(plan: Plan): Change {
    const action = toAction(plan.request);
    const target = this.#target(plan.request.target);
    if (action === undefined || !(target instanceof Engine)) {
      return {
        state: 'failed',
        waitingOn: [],
        note: 'the engine is not there',
      };
    }
    return afterOrder(this.#options.order(plan, action));
  }

  /** A replacement ends with a new incarnation; the others stay closed. */
  async #watch(plan: Plan): Promise<Change | undefined> {
    if (plan.request.kind !== 'replace') {
      await this.#options.closing.round(plan.request.target);
      return undefined;
    }
    const target = this.#target(plan.request.target);
    const replaced =
      target !== undefined && target.incarnation !== plan.incarnation;
    if (replaced) return { state: 'done', waitingOn: [] };
    return { waitingOn: ['a new incarnation of the target'] };
  }

  #target(name: string): Target | undefined {
    return this.#options.directory
      .find(name)
      .map(entry => entry.target)
      .extract();
  }
}

const afterOrder = (progress: OrderProgress): Change => {
  switch (progress.kind) {
    case 'running':
      return { waitingOn: [progress.waitingOn] };
    case 'done':
      return { state: 'done', waitingOn: [] };
    case 'failed':
      return { state: 'failed', waitingOn: [], note: progress.reason };
  }
};

const toAction = (request: PlanRequest): OrderAction | undefined => {
  switch (request.kind) {
    case 'role':
      return { kind: 'role', role: request.role };
    case 'load':
      return { kind: 'load', model: request.model };
    case 'unload':
      return { kind: 'unload', model: request.model };
    default:
      return undefined;
  }
};

const isSame = (plan: Plan, change: Change): boolean =>
  (change.state ?? plan.state) === plan.state &&
  (change.note ?? plan.note) === plan.note &&
  (change.waitingOn ?? plan.waitingOn).join() === plan.waitingOn.join();
