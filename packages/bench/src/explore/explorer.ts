/** Runs every schedule of a scenario, depth first, up to its bounds. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { computeDigest } from '@medlarlever/core';
import type { Clock } from '@sinonjs/fake-timers';

import type { PendingCall, CallScheduler } from './call-scheduler.js';

/** What a scenario shares with the explorer during one schedule. */
export interface SystemUnderTest {
  readonly scheduler: CallScheduler;
  /** True when every actor that did not crash has ended its task. */
  readonly isFinished: () => boolean;
  /** Shared state as a text, to recognise a state seen before. */
  readonly serializeState: () => string;
  /** Promise that is broken now, if any. */
  readonly findViolation: () => string | undefined;
  /** Promise that is broken once everything has come to rest, if any. */
  readonly findQuiescentViolation?: () => string | undefined;
  /** Called after an actor crashed. */
  readonly onActorCrashed?: (actor: string) => void;
}

export interface ExplorationScenario {
  readonly name: string;
  /** Lost answers and crashes in one schedule. */
  readonly maxFaults: number;
  /** Pauses in one schedule. */
  readonly maxPauses: number;
  /** How far a pause moves the clock. */
  readonly pauseMs: number;
  readonly createSystem: () => SystemUnderTest;
}

export interface ExplorationResult {
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
interface FaultBudget {
  faults: number;
  pauses: number;
}

interface Transition {
  readonly description: string;
  readonly consumes?: keyof FaultBudget;
  readonly apply: () => Promise<void>;
}

interface ScheduleRun {
  readonly unexploredPrefixes: readonly (readonly number[])[];
  readonly violation: string | undefined;
  readonly trace: readonly string[];
  readonly reachedStepLimit: boolean;
}

const maxStepsPerSchedule = 80;
const maxStepsToQuiescence = 60;

export class Explorer {
  readonly #visitedStates = new Set<string>();

  constructor(
    private readonly scenario: ExplorationScenario,
    private readonly clock: Clock,
  ) {}

  /** Stops at the first broken promise. */
  async exploreSchedules(): Promise<ExplorationResult> {
    const open: (readonly number[])[] = [[]];
    let schedules = 0;
    let cutOff = 0;
    for (;;) {
      const prefix = open.pop();
      if (prefix === undefined) break;
      const run = await this.#runSchedule(prefix);
      schedules += 1;
      if (run.reachedStepLimit) cutOff += 1;
      if (run.violation !== undefined) {
        const { violation, trace } = run;
        return this.#createResult({ schedules, cutOff, violation, trace });
      }
      open.push(...run.unexploredPrefixes);
    }
    return this.#createResult({
      schedules,
      cutOff,
      violation: undefined,
      trace: [],
    });
  }

  #createResult(
    counts: Pick<
      ExplorationResult,
      'schedules' | 'cutOff' | 'violation' | 'trace'
    >,
  ): ExplorationResult {
    const { schedules, cutOff, violation, trace } = counts;
    return {
      scenario: this.scenario.name,
      schedules,
      states: this.#visitedStates.size,
      cutOff,
      violation,
      trace,
    };
  }

  /** Repeats the choices of the prefix, then takes the first one each time. */
  async #runSchedule(prefix: readonly number[]): Promise<ScheduleRun> {
    this.clock.reset();
    const world = this.scenario.createSystem();
    const alternatives: number[][] = [];
    const taken: number[] = [];
    const trace: string[] = [];
    const { maxFaults: faults, maxPauses: pauses } = this.scenario;
    const allowance: FaultBudget = { faults, pauses };
    const result = (violation?: string, cutOff = false): ScheduleRun => ({
      unexploredPrefixes: alternatives,
      violation,
      trace,
      reachedStepLimit: cutOff,
    });
    await nextTurn();
    while (!world.isFinished()) {
      if (taken.length >= maxStepsPerSchedule) return result(undefined, true);
      const choices = this.#listTransitions(world, allowance);
      if (choices.length === 0) {
        if (this.clock.countTimers() === 0) break;
        await this.#advanceToNextTimer();
        continue;
      }
      const fresh = taken.length >= prefix.length;
      if (fresh) {
        if (this.#wasVisited(world, allowance)) return result();
        for (let i = choices.length - 1; i > 0; i -= 1) {
          alternatives.push([...taken, i]);
        }
      }
      const index = fresh ? 0 : (prefix[taken.length] ?? 0);
      const choice = choices[index];
      if (choice === undefined) throw new Error('the schedule differs');
      taken.push(index);
      trace.push(choice.description);
      if (choice.consumes !== undefined) allowance[choice.consumes] -= 1;
      await choice.apply();
      await nextTurn();
      const violation = world.findViolation();
      if (violation !== undefined) return result(violation);
    }
    return result(await this.#runToQuiescence(world));
  }

  /** Lets background work end, then asks for what must hold at rest. */
  async #runToQuiescence(world: SystemUnderTest): Promise<string | undefined> {
    for (let step = 0; step < maxStepsToQuiescence; step += 1) {
      const call = world.scheduler.pendingCalls[0];
      if (call !== undefined) {
        await call.completeCall('answer');
        await nextTurn();
      } else if (this.clock.countTimers() > 0) {
        await this.#advanceToNextTimer();
      } else break;
      const violation = world.findViolation();
      if (violation !== undefined) return violation;
    }
    return world.findQuiescentViolation?.();
  }

  async #advanceToNextTimer(): Promise<void> {
    this.clock.next();
    await nextTurn();
  }

  #wasVisited(
    world: SystemUnderTest,
    { faults, pauses }: FaultBudget,
  ): boolean {
    const { serializedHistory: history } = world.scheduler;
    const parts = [
      this.clock.now,
      faults,
      pauses,
      history,
      world.serializeState(),
    ];
    const key = computeDigest(parts.join('\n'));
    if (this.#visitedStates.has(key)) return true;
    this.#visitedStates.add(key);
    return false;
  }

  #listTransitions(
    world: SystemUnderTest,
    allowance: FaultBudget,
  ): readonly Transition[] {
    const { pendingCalls: pending } = world.scheduler;
    const choices = pending.map(call => this.#createCallTransition(call));
    if (allowance.faults > 0) {
      choices.push(
        ...pending.flatMap(call => this.#createFaultTransitions(world, call)),
      );
    }
    if (allowance.pauses > 0 && pending.length > 0)
      choices.push(this.#createPauseTransition());
    return choices;
  }

  #createCallTransition(call: PendingCall): Transition {
    return {
      description: `${call.actor}: ${call.label}`,
      apply: () => call.completeCall('answer'),
    };
  }

  /** A crash before a read is the same as one before the next effect. */
  #createFaultTransitions(
    world: SystemUnderTest,
    call: PendingCall,
  ): readonly Transition[] {
    const { actor, label, canLoseAnswer: losable } = call;
    if (!losable) return [];
    const crash = () => {
      world.scheduler.crashActor(actor);
      world.onActorCrashed?.(actor);
      return Promise.resolve();
    };
    const before: Transition = {
      description: `${actor}: crashes before ${label}`,
      consumes: 'faults',
      apply: crash,
    };
    const after: Transition = {
      description: `${actor}: crashes after ${label}`,
      consumes: 'faults',
      apply: async () => {
        await call.completeCall('crash');
        world.onActorCrashed?.(actor);
      },
    };
    const lose: Transition = {
      description: `${actor}: loses the answer of ${label}`,
      consumes: 'faults',
      apply: () => call.completeCall('lose'),
    };
    return [lose, before, after];
  }

  /** Time passes while every call that is under way stays where it is. */
  #createPauseTransition(): Transition {
    return {
      description: `${this.scenario.pauseMs} ms pass`,
      consumes: 'pauses',
      apply: async () => {
        this.clock.tick(this.scenario.pauseMs);
        await nextTurn();
      },
    };
  }
}
