/** Whether the instance takes requests, and the requests under way. */
import type { ConfigurationSource } from '@medlarlever/core';
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

const retryElsewhereDelayMs = 1_000;

export class Readiness {
  readonly #configuration: ConfigurationSource;
  #isDraining = false;
  #isRefusing = false;
  #runningCount = 0;
  #onIdle: (() => void) | undefined;
  readonly #handoverController = new AbortController();

  constructor(configuration: ConfigurationSource) {
    this.#configuration = configuration;
  }

  get isReady(): boolean {
    return !this.#isDraining && this.#configuration.getConfiguration().isJust();
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  get runningCount(): number {
    return this.#runningCount;
  }

  /** Counts a request in; the result counts it out. */
  startRequest(): Either<Failure, () => void> {
    if (this.#isRefusing) {
      return Left(
        new Failure('shutting_down', 'the instance is shutting down', {
          retryAfterMs: retryElsewhereDelayMs,
        }),
      );
    }
    this.#runningCount += 1;
    let left = false;
    return Right(() => {
      if (left) return;
      left = true;
      this.#runningCount -= 1;
      if (this.#runningCount === 0) this.#onIdle?.();
    });
  }

  /** Reports the instance as not ready; requests are still taken. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Refuses requests from now on. */
  startRefusing(): void {
    this.#isRefusing = true;
  }

  /**
   * Aborts with `shutting_down` when running streams are given up here, to be
   * rejoined through another instance.
   */
  get handoverSignal(): AbortSignal {
    return this.#handoverController.signal;
  }

  /** Ends the running streams here without cancelling them. */
  handOverStreams(): void {
    const reason = 'the instance stops; rejoin the stream through another';
    this.#handoverController.abort(
      new Failure('shutting_down', reason, {
        executed: 'unknown',
        retryAfterMs: retryElsewhereDelayMs,
      }),
    );
  }

  /** Resolves when nothing runs. */
  async waitForIdle(): Promise<void> {
    if (this.#runningCount === 0) return;
    await new Promise<void>(resolve => {
      this.#onIdle = resolve;
    });
  }
}
