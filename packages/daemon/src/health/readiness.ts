/**
 * Tracks whether the instance accepts requests and how many requests are
 * running.
 */
import type { ConfigurationSource } from '@medlarlever/core';
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Delay sent to callers that should retry at another instance. */
const retryElsewhereDelayMs = 1_000;

/** Readiness of the instance and its transitions during a shutdown. */
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

  /** True while a configuration is loaded and the instance is not draining. */
  get isReady(): boolean {
    return !this.#isDraining && this.#configuration.getConfiguration().isJust();
  }

  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Number of running requests. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /**
   * Counts a request as running. The caller calls the returned function when
   * the request has ended; further calls of it have no effect. Fails with
   * `shutting_down` after `startRefusing`.
   */
  startRequest(): Either<Failure, () => void> {
    if (this.#isRefusing) {
      return Left(
        new Failure(
          'shutting_down',
          'the instance is shutting down; use another one',
          {
            retryAfterMs: retryElsewhereDelayMs,
          },
        ),
      );
    }
    this.#runningCount += 1;
    let hasEnded = false;
    return Right(() => {
      if (hasEnded) return;
      hasEnded = true;
      this.#runningCount -= 1;
      if (this.#runningCount === 0) this.#onIdle?.();
    });
  }

  /** Reports the instance as not ready; requests are still accepted. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Refuses requests from now on. */
  startRefusing(): void {
    this.#isRefusing = true;
  }

  /**
   * Aborts with the reason `shutting_down` when this instance ends its running
   * streams, which callers then resume through another instance.
   */
  get handoverSignal(): AbortSignal {
    return this.#handoverController.signal;
  }

  /**
   * Ends the responses of the running streams. The generations continue on
   * their engines, so that callers can resume them through other instances.
   */
  handOverStreams(): void {
    const reason = 'the instance is shutting down; rejoin through another one';
    this.#handoverController.abort(
      new Failure('shutting_down', reason, {
        executed: 'unknown',
        retryAfterMs: retryElsewhereDelayMs,
      }),
    );
  }

  /** Resolves when no request is running. */
  async waitForIdle(): Promise<void> {
    if (this.#runningCount === 0) return;
    await new Promise<void>(resolve => {
      this.#onIdle = resolve;
    });
  }
}
