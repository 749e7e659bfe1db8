/**
 * One generation inside a simulated engine, with the listeners of its stream.
 */
import { estimateTokens } from '@medlarlever/core';
import type {
  Chunk,
  GenerationTask,
  StreamEnd,
  StreamItem,
} from '@medlarlever/core';

import {
  countCompletionTokens,
  createTokenWriter,
} from '../shared/deterministic-outputs.js';

/**
 * The task of a job. It has no deadline, because callers do not send their
 * deadline to engines.
 */
export type JobRequest = Omit<GenerationTask, 'deadline'>;

/**
 * Receives the items of a stream until its end, its failure or the removal of
 * the listener.
 */
export type StreamListener = (item: StreamItem) => void;

/** Phase of a generation. */
export type JobState = 'queued' | 'prefill' | 'decode' | 'ended';

/** State and generated chunks of one generation. */
export class GenerationJob {
  state: JobState = 'queued';
  readonly promptTokens: number;
  /** Prompt tokens that are not prefilled yet. */
  remainingPrefillTokens: number;
  readonly chunks: Chunk[] = [];
  streamEnd: StreamEnd | undefined;
  /**
   * End of the stream in milliseconds since the Unix epoch; 0 before the end.
   */
  endedAtMs = 0;
  readonly #listeners = new Set<StreamListener>();
  readonly #writeToken: (index: number) => string;
  readonly #totalOutputTokens: number;
  readonly #continuedTokens: number;

  constructor(readonly request: JobRequest) {
    this.promptTokens = estimateTokens(request.prompt);
    this.remainingPrefillTokens = this.promptTokens;
    this.#writeToken = createTokenWriter(request.prompt, request.model);
    this.#totalOutputTokens = countCompletionTokens(
      request.prompt,
      request.maxTokens,
    );
    this.#continuedTokens = request.continuation?.tokens ?? 0;
  }

  /** Tokens of the answer so far, including those of the continued text. */
  get outputTokens(): number {
    return this.#continuedTokens + this.chunks.length;
  }

  /** Whether all tokens are generated, or only the prefill was requested. */
  get isFinished(): boolean {
    return (
      this.request.isPrefillOnly === true ||
      this.outputTokens >= this.#totalOutputTokens
    );
  }

  /** Generates the next token. */
  generateToken(): void {
    const index = this.outputTokens;
    const chunk = { index, text: this.#writeToken(index) };
    this.chunks.push(chunk);
    this.notifyListeners({ kind: 'chunk', chunk });
  }

  /** Ends the stream; further calls have no effect. */
  finishStream(reason?: StreamEnd['reason']): void {
    if (this.streamEnd !== undefined) return;
    const defaultReason =
      this.outputTokens < this.request.maxTokens ? 'stop' : 'length';
    this.streamEnd = {
      reason: reason ?? defaultReason,
      promptTokens: this.promptTokens,
      outputTokens: this.outputTokens,
    };
    this.state = 'ended';
    this.endedAtMs = Date.now();
    this.notifyListeners({ kind: 'end', end: this.streamEnd });
    this.#listeners.clear();
  }

  /**
   * Passes the existing chunks after index `after` to the listener, then new items.
   * Returns a function that removes the listener.
   */
  addListener(after: number, listener: StreamListener): () => void {
    for (const chunk of this.chunks) {
      if (chunk.index > after) listener({ kind: 'chunk', chunk });
    }
    if (this.streamEnd !== undefined) {
      listener({ kind: 'end', end: this.streamEnd });
      return () => undefined;
    }
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Passes the item to every listener. */
  notifyListeners(item: StreamItem): void {
    for (const listener of [...this.#listeners]) listener(item);
  }
}
