/** What the relay keeps for each service. */
import { EventPace } from '../placement/event-gaps.js';
import { ReadingSpeed } from '../placement/prefill-speed.js';
import { RetryWindow } from '../retries/retry-budget.js';
import type { RetryWindowOptions } from '../retries/retry-budget.js';

export interface ServiceState {
  readonly retries: RetryWindow;
  readonly speed: ReadingSpeed;
  readonly pace: EventPace;
  /** Prompt tokens that this instance gave to engines to read. */
  tokensPlaced: number;
}

export class ServiceStates {
  readonly #states = new Map<string, ServiceState>();

  constructor(private readonly retryOptions: RetryWindowOptions) {}

  /** Every service with its state. */
  all(): readonly (readonly [string, ServiceState])[] {
    return [...this.#states];
  }

  /** Tokens placed so far, by service. */
  tokensPlaced(): [string, number][] {
    return [...this.#states].map(([name, { tokensPlaced }]) => [
      name,
      tokensPlaced,
    ]);
  }

  get(service: string): ServiceState {
    const held = this.#states.get(service);
    if (held !== undefined) return held;
    const state = {
      retries: new RetryWindow(this.retryOptions),
      speed: new ReadingSpeed(),
      pace: new EventPace(),
      tokensPlaced: 0,
    };
    this.#states.set(service, state);
    return state;
  }
}
