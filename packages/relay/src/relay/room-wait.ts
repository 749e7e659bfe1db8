/** Lets one generation wait until an engine has room for it. */
import { Failure } from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { createPhaseDemand, initialHoldMs } from '../room/room-check.js';
import type { RoomTurnover, WaitingRequest } from '../room/room-queue.js';

import type { GenerationPlacerOptions } from './generation-placer.js';

/** Share of the time left that a request may wait if work was done for it. */
const startedWaitShare = 0.8;

/** Bounds of the retry delay for the caller. */
const minRetryAfterMs = 200;
const maxRetryAfterMs = 5_000;

/** No engine has room for the request at present. */
export class RoomShortage extends Failure {
  constructor() {
    super('overloaded', 'no engine of the service has room for the request');
  }
}

/** Waits in the queue of the service. */
export class RoomWait {
  constructor(private readonly options: GenerationPlacerOptions) {}

  /** True if others that wait are placed before a request with this work done. */
  mustWait(workTokens: number): boolean {
    const { rank } = this.options.context;
    const tokens = this.#countTokens();
    return this.#state.roomQueue.hasAhead({ rank, workTokens, tokens });
  }

  /**
   * Places the request once there is room, in the order of rank and of the work done;
   * fails at once if that would take too long.
   */
  place<T>(
    place: () => Either<Failure, T>,
    workTokens: number,
  ): Promise<Either<Failure, T>> {
    const { context, dependencies } = this.options;
    const startedAtMs = performance.now();
    return new Promise(resolve => {
      const settle = (result: Either<Failure, T>) => {
        context.signal.removeEventListener('abort', onAbort);
        context.addLogFields({
          room_wait_ms: Math.round(performance.now() - startedAtMs),
        });
        resolve(result);
      };
      const request: WaitingRequest = {
        rank: context.rank,
        workTokens,
        tokens: this.#countTokens(),
        waitUntilMs: startedAtMs + this.#getMaxWaitMs(workTokens),
        tryPlace: () => {
          const result = place();
          if (result.extract() instanceof RoomShortage) return false;
          settle(result);
          return true;
        },
        refuse: expectedWaitMs => {
          dependencies.metrics.recordRoomRefusal(context.service);
          settle(Left(this.#createRefusal(expectedWaitMs)));
        },
      };
      const onAbort = () => {
        this.#state.roomQueue.remove(request);
        settle(Left(context.createDeadlineFailure()));
      };
      context.signal.addEventListener('abort', onAbort, { once: true });
      this.#state.roomQueue.add(request, () => this.#getTurnover());
    });
  }

  get #state() {
    const { dependencies, context } = this.options;
    return dependencies.serviceStates.getState(context.service);
  }

  #countTokens(): number {
    const { prompt, engineSettings } = this.options;
    const { kvTokens } = engineSettings;
    const demand = createPhaseDemand(prompt, 'decode', kvTokens);
    return demand.sharedSegments.reduce(
      (sum, { tokens }) => sum + tokens,
      demand.ownTokens,
    );
  }

  /** A new request waits for the time to the first event that its route aims for. */
  #getMaxWaitMs(workTokens: number): number {
    const { remainingMs, route } = this.options.context;
    return workTokens > 0
      ? startedWaitShare * remainingMs
      : Math.min(startedWaitShare * remainingMs, route.latencyTargetMs);
  }

  #getTurnover(): RoomTurnover {
    const { dependencies, context } = this.options;
    const typicalTokens = this.#state.requestTokensAverage.value ?? 0;
    const usedTokens = dependencies.targets
      .listOpenTargets(context.service)
      .reduce(
        (sum, { heldTokens, reportedTokens }) =>
          sum + heldTokens.tokens + reportedTokens.countTokens(typicalTokens),
        0,
      );
    return {
      usedTokens,
      holdMs: this.#state.decodeMsAverage.value ?? initialHoldMs,
      instanceCount: dependencies.engineTurns.otherInstances + 1,
    };
  }

  /** The retry delay is drawn at random, so that refused callers come back spread out. */
  #createRefusal(expectedWaitMs: number): Failure {
    const { context, dependencies } = this.options;
    const factor = 0.5 + dependencies.random();
    const retryAfterMs = Math.min(
      maxRetryAfterMs * factor,
      Math.max(minRetryAfterMs * factor, expectedWaitMs * factor),
    );
    return new Failure(
      'overloaded',
      `the engines of the service have no room for the request for about ${Math.round(expectedWaitMs)} ms; retry later`,
      { executed: context.mayHaveExecuted ? 'unknown' : 'no', retryAfterMs },
    );
  }
}
