/** Model checker that runs every schedule of a scenario, depth first, within the limits of faults, pauses and steps. */
import { setImmediate as waitForNextTurn } from 'node:timers/promises';

import { computeDigest } from '@medlarlever/core';
import type { Clock } from '@sinonjs/fake-timers';

import type { PendingCall, CallScheduler } from './call-scheduler.js';

/** Restore of the shared table from a backup, as a step of a schedule. */
export interface RestoreStep {
  readonly description: string;
  readonly restore: () => void;
}

/** The actors and shared state of a scenario during one schedule, as the explorer uses them. */
export interface SystemUnderTest {
  readonly scheduler: CallScheduler;
  /** Returns whether every actor that did not crash has finished its task. */
  readonly isFinished: () => boolean;
  /** Returns the shared state as a text, by which the explorer recognises states that it has visited. */
  readonly serializeState: () => string;
  /** Describes an invariant that is violated in the current state, if any. */
  readonly findViolation: () => string | undefined;
  /** Describes a guarantee that is violated after all calls and timers have completed, if any. */
  readonly findQuiescentViolation?: () => string | undefined;
  /** Called with the name of an actor after the actor crashed. */
  readonly onActorCrashed?: (actor: string) => void;
  /** Restores that may happen at any step. */
  readonly restores?: readonly RestoreStep[];
}

/** A system to explore and the limits of each schedule. */
export interface ExplorationScenario {
  readonly name: string;
  /** Maximum number of lost answers and crashes in one schedule. */
  readonly maxFaults: number;
  /** Maximum number of pauses in one schedule. */
  readonly maxPauses: number;
  /** Maximum number of restores in one schedule; none by default. */
  readonly maxRestores?: number;
  /** Time by which one pause advances the clock, in milliseconds. */
  readonly pauseMs: number;
  readonly createSystem: () => SystemUnderTest;
}

/** Counts of an exploration and the first violation that it found. */
export interface ExplorationResult {
  readonly scenario: string;
  /** Number of schedules that were run. */
  readonly schedules: number;
  /** Number of different states that were visited. */
  readonly states: number;
  /** Number of schedules that were stopped at the step limit. */
  readonly cutOff: number;
  readonly violation: string | undefined;
  /** Descriptions of the steps that led to the violation; empty without a violation. */
  readonly trace: readonly string[];
}

/** Number of faults, pauses and restores that the rest of a schedule may contain. */
interface FaultBudget {
  faults: number;
  pauses: number;
  restores: number;
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

/** A schedule that is not finished after this many transitions counts as cut off. */
const maxStepsPerSchedule = 80;
/** Maximum number of calls and timers that are completed after the actors have finished. */
const maxStepsToQuiescence = 60;

/** Explores one scenario and skips states that it has visited. */
export class Explorer {
  readonly #visitedStates = new Set<string>();

  constructor(
    private readonly scenario: ExplorationScenario,
    private readonly clock: Clock,
  ) {}

  /** Runs all schedules, or stops at the first violation. */
  async exploreSchedules(): Promise<ExplorationResult> {
    const unexploredPrefixes: (readonly number[])[] = [[]];
    let schedules = 0;
    let cutOff = 0;
    for (;;) {
      const prefix = unexploredPrefixes.pop();
      if (prefix === undefined) break;
      const run = await this.#runSchedule(prefix);
      schedules += 1;
      if (run.reachedStepLimit) cutOff += 1;
      if (run.violation !== undefined) {
        const { violation, trace } = run;
        return this.#createResult({ schedules, cutOff, violation, trace });
      }
      unexploredPrefixes.push(...run.unexploredPrefixes);
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

  /** Repeats the transitions of the prefix, then applies the first available transition at each step. */
  async #runSchedule(prefix: readonly number[]): Promise<ScheduleRun> {
    this.clock.reset();
    const system = this.scenario.createSystem();
    const alternatives: number[][] = [];
    const chosenIndexes: number[] = [];
    const trace: string[] = [];
    const {
      maxFaults: faults,
      maxPauses: pauses,
      maxRestores: restores = 0,
    } = this.scenario;
    const budget: FaultBudget = { faults, pauses, restores };
    const createRun = (
      violation?: string,
      reachedStepLimit = false,
    ): ScheduleRun => ({
      unexploredPrefixes: alternatives,
      violation,
      trace,
      reachedStepLimit,
    });
    await waitForNextTurn();
    while (!system.isFinished()) {
      if (chosenIndexes.length >= maxStepsPerSchedule)
        return createRun(undefined, true);
      const transitions = this.#listTransitions(system, budget);
      if (transitions.length === 0) {
        if (this.clock.countTimers() === 0) break;
        await this.#advanceToNextTimer();
        continue;
      }
      const isPastPrefix = chosenIndexes.length >= prefix.length;
      if (isPastPrefix) {
        if (this.#wasVisited(system, budget)) return createRun();
        for (let i = transitions.length - 1; i > 0; i -= 1) {
          alternatives.push([...chosenIndexes, i]);
        }
      }
      const index = isPastPrefix ? 0 : (prefix[chosenIndexes.length] ?? 0);
      const transition = transitions[index];
      if (transition === undefined)
        throw new Error(
          'the schedule is not deterministic: a transition of the prefix is not available',
        );
      chosenIndexes.push(index);
      trace.push(transition.description);
      if (transition.consumes !== undefined) budget[transition.consumes] -= 1;
      await transition.apply();
      await waitForNextTurn();
      const violation = system.findViolation();
      if (violation !== undefined) return createRun(violation);
    }
    return createRun(await this.#runToQuiescence(system));
  }

  /** Completes all pending calls and timers, then checks the guarantees that hold at rest. */
  async #runToQuiescence(system: SystemUnderTest): Promise<string | undefined> {
    for (let step = 0; step < maxStepsToQuiescence; step += 1) {
      const call = system.scheduler.pendingCalls[0];
      if (call !== undefined) {
        await call.completeCall('answer');
        await waitForNextTurn();
      } else if (this.clock.countTimers() > 0) {
        await this.#advanceToNextTimer();
      } else break;
      const violation = system.findViolation();
      if (violation !== undefined) return violation;
    }
    return system.findQuiescentViolation?.();
  }

  async #advanceToNextTimer(): Promise<void> {
    this.clock.next();
    await waitForNextTurn();
  }

  #wasVisited(
    system: SystemUnderTest,
    { faults, pauses, restores }: FaultBudget,
  ): boolean {
    const { serializedHistory } = system.scheduler;
    const stateParts = [
      this.clock.now,
      faults,
      pauses,
      restores,
      serializedHistory,
      system.serializeState(),
    ];
    const key = computeDigest(stateParts.join('\n'));
    if (this.#visitedStates.has(key)) return true;
    this.#visitedStates.add(key);
    return false;
  }

  #listTransitions(
    system: SystemUnderTest,
    budget: FaultBudget,
  ): readonly Transition[] {
    const { pendingCalls } = system.scheduler;
    const transitions = pendingCalls.map(call =>
      this.#createCallTransition(call),
    );
    if (budget.faults > 0) {
      transitions.push(
        ...pendingCalls.flatMap(call =>
          this.#createFaultTransitions(system, call),
        ),
      );
    }
    if (budget.pauses > 0 && pendingCalls.length > 0)
      transitions.push(this.#createPauseTransition());
    if (budget.restores > 0 && pendingCalls.length > 0)
      transitions.push(...createRestoreTransitions(system));
    return transitions;
  }

  #createCallTransition(call: PendingCall): Transition {
    return {
      description: `${call.actor}: ${call.label}`,
      apply: () => call.completeCall('answer'),
    };
  }

  /** Only calls with an effect get faults: a crash before a read is equivalent to a crash before the next call with an effect. */
  #createFaultTransitions(
    system: SystemUnderTest,
    call: PendingCall,
  ): readonly Transition[] {
    const { actor, label, canLoseAnswer } = call;
    if (!canLoseAnswer) return [];
    const crash = () => {
      system.scheduler.crashActor(actor);
      system.onActorCrashed?.(actor);
      return Promise.resolve();
    };
    const crashBeforeCall: Transition = {
      description: `${actor}: crashes before ${label}`,
      consumes: 'faults',
      apply: crash,
    };
    const crashAfterCall: Transition = {
      description: `${actor}: crashes after ${label}`,
      consumes: 'faults',
      apply: async () => {
        await call.completeCall('crash');
        system.onActorCrashed?.(actor);
      },
    };
    const loseAnswer: Transition = {
      description: `${actor}: loses the answer of ${label}`,
      consumes: 'faults',
      apply: () => call.completeCall('lose'),
    };
    return [loseAnswer, crashBeforeCall, crashAfterCall];
  }

  /** Advances the clock while every pending call stays pending. */
  #createPauseTransition(): Transition {
    return {
      description: `${this.scenario.pauseMs} ms pass`,
      consumes: 'pauses',
      apply: async () => {
        this.clock.tick(this.scenario.pauseMs);
        await waitForNextTurn();
      },
    };
  }
}

const createRestoreTransitions = ({
  restores = [],
}: SystemUnderTest): readonly Transition[] =>
  restores.map(({ description, restore }) => ({
    description,
    consumes: 'restores' as const,
    apply: () => {
      restore();
      return Promise.resolve();
    },
  }));
