/** State that the relay keeps for each service. */
import { PrefillSpeed } from '../placement/prefill-speed.js';
import { DecodeRequests } from '../placement/slot-wait.js';
import { RoomQueue } from '../room/room-queue.js';
import { RetryBudget } from '../retries/retry-budget.js';
import type { RetryBudgetOptions } from '../retries/retry-budget.js';
import { MovingAverage } from '../shared/moving-average.js';

/** Retry budget and measured speeds of one service. */
export interface ServiceState {
  readonly retryBudget: RetryBudget;
  readonly prefillSpeed: PrefillSpeed;
  /** Time between the events of streams, in milliseconds. */
  readonly eventGapAverage: MovingAverage;
  /** Prompt tokens that one dedicated prefill computes. */
  readonly prefillTokensAverage: MovingAverage;
  /** Time for which a request takes a slot of a decode engine, in milliseconds. */
  readonly decodeMsAverage: MovingAverage;
  /** Time from the first event of a stream to its end, in milliseconds. */
  readonly streamMsAverage: MovingAverage;
  readonly decodeRequests: DecodeRequests;
  /** Tokens that one request takes at an engine, with the output that may come. */
  readonly requestTokensAverage: MovingAverage;
  /** Requests that wait for room at the engines. */
  readonly roomQueue: RoomQueue;
  /** Prompt tokens that this instance has sent to engines since its start. */
  assignedPrefillTokens: number;
}

/** The states of all services, created on first use. */
export class ServiceStates {
  readonly #stateByService = new Map<string, ServiceState>();

  constructor(private readonly retryBudgetOptions: RetryBudgetOptions) {}

  /** Pairs of service name and state. */
  listStates(): readonly (readonly [string, ServiceState])[] {
    return [...this.#stateByService];
  }

  /** Pairs of service name and prompt tokens sent to engines since the start. */
  listAssignedPrefillTokens(): [string, number][] {
    return [...this.#stateByService].map(
      ([name, { assignedPrefillTokens }]) => [name, assignedPrefillTokens],
    );
  }

  getState(service: string): ServiceState {
    const existingState = this.#stateByService.get(service);
    if (existingState !== undefined) return existingState;
    const state = {
      retryBudget: new RetryBudget(this.retryBudgetOptions),
      prefillSpeed: new PrefillSpeed(),
      eventGapAverage: new MovingAverage(),
      prefillTokensAverage: new MovingAverage(),
      decodeMsAverage: new MovingAverage(),
      streamMsAverage: new MovingAverage(),
      decodeRequests: new DecodeRequests(),
      requestTokensAverage: new MovingAverage(),
      roomQueue: new RoomQueue(),
      assignedPrefillTokens: 0,
    };
    this.#stateByService.set(service, state);
    return state;
  }
}
