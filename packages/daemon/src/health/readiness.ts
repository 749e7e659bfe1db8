/** Whether the instance takes requests, and the requests under way. */
import type { ConfigurationSource } from '@medlarlever/core';
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

const retryElsewhereMs = 1_000;

export class Readiness {
  readonly #configuration: ConfigurationSource;
  #draining = false;
  #refusing = false;
  #running = 0;
  #onIdle: (() => void) | undefined;
  readonly #handover = new AbortController();

  constructor(configuration: ConfigurationSource) {
    this.#configuration = configuration;
  }

  get ready(): boolean {
    return !this.#draining && this.#configuration.getConfiguration().isJust();
  }

  get draining(): boolean {
    return this.#draining;
  }

  get running(): number {
    return this.#running;
  }

  /** Counts a request in; the result counts it out. */
  enter(): Either<Failure, () => void> {
    if (this.#refusing) {
      return Left(
        new Failure('shutting_down', 'the instance is shutting down', {
          retryAfterMs: retryElsewhereMs,
        }),
      );
    }
    this.#running += 1;
    let left = false;
    return Right(() => {
      if (left) return;
      left = true;
      this.#running -= 1;
      if (this.#running === 0) this.#onIdle?.();
    });
  }

  /** Reports the instance as not ready; requests are still taken. */
  announceStop(): void {
    this.#draining = true;
  }

  /** Refuses requests from now on. */
  refuse(): void {
    this.#refusing = true;
  }

  /**
   * Aborts with `shutting_down` when running streams are given up here, to be
   * rejoined through another instance.
   */
  get handover(): AbortSignal {
    return this.#handover.signal;
  }

  /** Ends the running streams here without cancelling them. */
  handOver(): void {
    const reason = 'the instance stops; rejoin the stream through another';
    this.#handover.abort(
      new Failure('shutting_down', reason, {
        executed: 'unknown',
        retryAfterMs: retryElsewhereMs,
      }),
    );
  }

  /** Resolves when nothing runs. */
  async idle(): Promise<void> {
    if (this.#running === 0) return;
    await new Promise<void>(resolve => {
      this.#onIdle = resolve;
    });
  }
}
