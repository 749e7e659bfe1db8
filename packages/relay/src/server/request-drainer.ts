/** Readiness and the graceful end of the callers' interface. */
import { sleep } from '@medlarlever/core';

/**
 * The balancer looks once a second and takes an instance out after two
 * misses; connections may still arrive until then.
 */
const balancerNoticeMs = 3_200;

/** Time before the forced end at which what still runs is given up. */
const reserveMs = 800;

/** Time in which a request that was sent before the close has arrived. */
const crossingMs = 50;

export class Drain {
  #draining = false;
  #closing = false;
  #running = 0;
  #idle: (() => void) | undefined;
  #endMs = Infinity;

  /** True once a stop was asked for. */
  get draining(): boolean {
    return this.#draining;
  }

  /** True when connections end with the answer under way. */
  get closing(): boolean {
    return this.#closing;
  }

  /**
   * Time that a request which arrives now can be given. Unbounded until the
   * balancer has looked away.
   */
  get leftMs(): number {
    return this.#closing ? this.#endMs - performance.now() : Infinity;
  }

  get running(): number {
    return this.#running;
  }

  /** Counts a request in; the result counts it out. */
  enter(): () => void {
    this.#running += 1;
    return () => {
      this.#running -= 1;
      if (this.#running === 0) this.#idle?.();
    };
  }

  /**
   * Resolves when the balancer has looked away and nothing runs any more.
   * `stopAccepting` closes what is idle; a request that crosses it still ends.
   */
  async run(graceMs: number, stopAccepting: () => void): Promise<void> {
    this.#draining = true;
    const endMs = performance.now() + graceMs - reserveMs;
    this.#endMs = endMs;
    await sleep(Math.min(balancerNoticeMs, graceMs / 2));
    this.#closing = true;
    await this.#idleWithin(endMs - performance.now());
    stopAccepting();
    await sleep(crossingMs);
    await this.#idleWithin(endMs - performance.now());
  }

  async #idleWithin(ms: number): Promise<void> {
    if (this.#running === 0 || ms <= 0) return;
    const done = new AbortController();
    this.#idle = () => {
      done.abort();
    };
    await sleep(ms, done.signal);
  }
}
