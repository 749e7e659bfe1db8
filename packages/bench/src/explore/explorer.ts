/** Runs every schedule of a scenario, depth first, up to its bounds. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { computeDigest } from '@medlarlever/core';
import type { Clock } from '@sinonjs/fake-timers';

import type { PendingCall, Scheduler } from './call-scheduler.js';

/** What a scenario shares with the explorer during one schedule. */
export interface World {
  readonly scheduler: Scheduler;
  /** True when every actor that did not crash has ended its task. */
  readonly finished: () => boolean;
  /** Shared state as a text, to recognise a state seen before. */
  readonly state: () => string;
  /** Promise that is broken now, if any. */
  readonly broken: () => string | undefined;
  /** Promise that is broken once everything has come to rest, if any. */
  readonly brokenAtRest?: () => string | undefined;
  /** Called after an actor crashed. */
  readonly crashed?: (actor: string) => void;
}

export interface Scenario {
  readonly name: string;
  /** Lost answers and crashes in one schedule. */
  readonly faults: number;
  /** Pauses in one schedule. */
  readonly pauses: number;
  /** How far a pause moves the clock. */
  readonly pauseMs: number;
  readonly create: () => World;
}

export interface Exploration {
  readonly scenario: string;
  readonly schedules: number;
  readonly states: number;
  /** Schedules that were cut off at the step limit. */
  readonly cutOff: number;
  readonly violation: string | undefined;
  /** Steps that led to the violation. */
  readonly trace: readonly string[];
}

/** Faults and pauses that a schedule may still have. */
interface Allowance {
  faults: number;
  pauses: number;
}

interface Choice {
  readonly text: string;
  readonly uses?: keyof Allowance;
  readonly apply: () => Promise<void>;
}

interface Run {
  readonly alternatives: readonly (readonly number[])[];
  readonly violation: string | undefined;
  readonly trace: readonly string[];
  readonly cutOff: boolean;
}

const maxSteps = 80;
const stepsAtRest = 60;

export class Explorer {
  readonly #visited = new Set<string>();

  constructor(
    private readonly scenario: Scenario,
    private readonly clock: Clock,
  ) {}

  /** Stops at the first broken promise. */
  async explore(): Promise<Exploration> {
    const open: (readonly number[])[] = [[]];
    let schedules = 0;
    let cutOff = 0;
    for (;;) {
      const prefix = open.pop();
      if (prefix === undefined) break;
      const run = await this.#run(prefix);
      schedules += 1;
      if (run.cutOff) cutOff += 1;
      if (run.violation !== undefined) {
        const { violation, trace } = run;
        return this.#report({ schedules, cutOff, violation, trace });
      }
      open.push(...run.alternatives);
    }
    return this.#report({ schedules, cutOff, violation: undefined, trace: [] });
  }

  #report(
    counts: Pick<Exploration, 'schedules' | 'cutOff' | 'violation' | 'trace'>,
  ): Exploration {
    const { schedules, cutOff, violation, trace } = counts;
    return {
      scenario: this.scenario.name,
      schedules,
      states: this.#visited.size,
      cutOff,
      violation,
      trace,
    };
  }

  /** Repeats the choices of the prefix, then takes the first one each time. */
  async #run(prefix: readonly number[]): Promise<Run> {
    this.clock.reset();
    const world = this.scenario.create();
    const alternatives: number[][] = [];
    const taken: number[] = [];
    const trace: string[] = [];
    const { faults, pauses } = this.scenario;
    const allowance: Allowance = { faults, pauses };
    const result = (violation?: string, cutOff = false): Run => ({
      alternatives,
      violation,
      trace,
      cutOff,
    });
    await nextTurn();
    while (!world.finished()) {
      if (taken.length >= maxSteps) return result(undefined, true);
      const choices = this.#choices(world, allowance);
      if (choices.length === 0) {
        if (this.clock.countTimers() === 0) break;
        await this.#toNextTimer();
        continue;
      }
      const fresh = taken.length >= prefix.length;
      if (fresh) {
        if (this.#seen(world, allowance)) return result();
        for (let i = choices.length - 1; i > 0; i -= 1) {
          alternatives.push([...taken, i]);
        }
      }
      const index = fresh ? 0 : (prefix[taken.length] ?? 0);
      const choice = choices[index];
      if (choice === undefined) throw new Error('the schedule differs');
      taken.push(index);
      trace.push(choice.text);
      if (choice.uses !== undefined) allowance[choice.uses] -= 1;
      await choice.apply();
      await nextTurn();
      const violation = world.broken();
      if (violation !== undefined) return result(violation);
    }
    return result(await this.#atRest(world));
  }

  /** Lets background work end, then asks for what must hold at rest. */
  async #atRest(world: World): Promise<string | undefined> {
    for (let step = 0; step < stepsAtRest; step += 1) {
      const call = world.scheduler.pending[0];
      if (call !== undefined) {
        await call.go('answer');
        await nextTurn();
      } else if (this.clock.countTimers() > 0) {
        await this.#toNextTimer();
      } else break;
      const violation = world.broken();
      if (violation !== undefined) return violation;
    }
    return world.brokenAtRest?.();
  }

  async #toNextTimer(): Promise<void> {
    this.clock.next();
    await nextTurn();
  }

  #seen(world: World, { faults, pauses }: Allowance): boolean {
    const { history } = world.scheduler;
    const parts = [this.clock.now, faults, pauses, history, world.state()];
    const key = computeDigest(parts.join('\n'));
    if (this.#visited.has(key)) return true;
    this.#visited.add(key);
    return false;
  }

  #choices(world: World, allowance: Allowance): readonly Choice[] {
    const { pending } = world.scheduler;
    const choices = pending.map(call => this.#step(call));
    if (allowance.faults > 0) {
      choices.push(...pending.flatMap(call => this.#faults(world, call)));
    }
    if (allowance.pauses > 0 && pending.length > 0) choices.push(this.#pause());
    return choices;
  }

  #step(call: PendingCall): Choice {
    return {
      text: `${call.actor}: ${call.label}`,
      apply: () => call.go('answer'),
    };
  }

  /** A crash before a read is the same as one before the next effect. */
  #faults(world: World, call: PendingCall): readonly Choice[] {
    const { actor, label, losable } = call;
    if (!losable) return [];
    const crash = () => {
      world.scheduler.crash(actor);
      world.crashed?.(actor);
      return Promise.resolve();
    };
    const before: Choice = {
      text: `${actor}: crashes before ${label}`,
      uses: 'faults',
      apply: crash,
    };
    const after: Choice = {
      text: `${actor}: crashes after ${label}`,
      uses: 'faults',
      apply: async () => {
        await call.go('crash');
        world.crashed?.(actor);
      },
    };
    const lose: Choice = {
      text: `${actor}: loses the answer of ${label}`,
      uses: 'faults',
      apply: () => call.go('lose'),
    };
    return [lose, before, after];
  }

  /** Time passes while every call that is under way stays where it is. */
  #pause(): Choice {
    return {
      text: `${this.scenario.pauseMs} ms pass`,
      uses: 'pauses',
      apply: async () => {
        this.clock.tick(this.scenario.pauseMs);
        await nextTurn();
      },
    };
  }
}
