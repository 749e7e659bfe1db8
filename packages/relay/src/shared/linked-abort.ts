/**
 * Abort signal that follows another one until it is unlinked. `AbortSignal.any` does the
 * same with weak references and finalizers, which cost more than a short send.
 */

/** Aborts with its parent, or alone. */
export class LinkedAbort {
  readonly #controller = new AbortController();
  readonly #abort = () => {
    this.abort();
  };

  constructor(private readonly parent: AbortSignal) {
    if (parent.aborted) this.abort();
    else parent.addEventListener('abort', this.#abort, { once: true });
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  abort(): void {
    this.unlink();
    this.#controller.abort();
  }

  /** Stops following the parent; to be called when the signal is no longer needed. */
  unlink(): void {
    this.parent.removeEventListener('abort', this.#abort);
  }
}
