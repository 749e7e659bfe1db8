/** What the relay keeps for each service. */
import { EventGapAverage } from '../placement/event-gaps.js';
import { PrefillSpeed } from '../placement/prefill-speed.js';
import { RetryBudget } from '../retries/retry-budget.js';
import type { RetryBudgetOptions } from '../retries/retry-budget.js';

export interface ServiceState {
  readonly retryBudget: RetryBudget;
  readonly prefillSpeed: PrefillSpeed;
  readonly eventGapAverage: EventGapAverage;
  /** Prompt tokens that this instance gave to engines to read. */
  assignedPrefillTokens: number;
}

export class ServiceStates {
  readonly #stateByService = new Map<string, ServiceState>();

  constructor(private readonly retryBudgetOptions: RetryBudgetOptions) {}

  /** Every service with its state. */
  listStates(): readonly (readonly [string, ServiceState])[] {
    return [...this.#stateByService];
  }

  /** Tokens placed so far, by service. */
  listAssignedPrefillTokens(): [string, number][] {
    return [...this.#stateByService].map(
      ([name, { assignedPrefillTokens: tokensPlaced }]) => [name, tokensPlaced],
    );
  }

  getState(service: string): ServiceState {
    const held = this.#stateByService.get(service);
    if (held !== undefined) return held;
    const state = {
      retryBudget: new RetryBudget(this.retryBudgetOptions),
      prefillSpeed: new PrefillSpeed(),
      eventGapAverage: new EventGapAverage(),
      assignedPrefillTokens: 0,
    };
    this.#stateByService.set(service, state);
    return state;
  }
}
