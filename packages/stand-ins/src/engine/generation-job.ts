/** One generation inside a simulated engine, with its followers. */
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

/** What a job is asked to generate; the deadline does not reach the engine. */
export type JobRequest = Omit<GenerationTask, 'deadline'>;

/** Receives a stream; called until an end or failure, or until detached. */
export type StreamListener = (item: StreamItem) => void;

export type JobState = 'queued' | 'prefill' | 'decode' | 'ended';

export class GenerationJob {
  state: JobState = 'queued';
  readonly promptTokens: number;
  /** Prompt tokens still to be prefilled. */
  remainingPrefillTokens: number;
  readonly chunks: Chunk[] = [];
  streamEnd: StreamEnd | undefined;
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

  /** Tokens of the answer so far, continued ones included. */
  get outputTokens(): number {
    return this.#continuedTokens + this.chunks.length;
  }

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

  /** Ends the stream; later calls do nothing. */
  finishStream(reason?: StreamEnd['reason']): void {
    if (this.streamEnd !== undefined) return;
    const natural =
      this.outputTokens < this.request.maxTokens ? 'stop' : 'length';
    this.streamEnd = {
      reason: reason ?? natural,
      promptTokens: this.promptTokens,
      outputTokens: this.outputTokens,
    };
    this.state = 'ended';
    this.endedAtMs = Date.now();
    this.notifyListeners({ kind: 'end', end: this.streamEnd });
    this.#listeners.clear();
  }

  /** Sends what came after chunk `after`, then what comes. */
  addListener(after: number, follower: StreamListener): () => void {
    for (const chunk of this.chunks) {
      if (chunk.index > after) follower({ kind: 'chunk', chunk });
    }
    if (this.streamEnd !== undefined) {
      follower({ kind: 'end', end: this.streamEnd });
      return () => undefined;
    }
    this.#listeners.add(follower);
    return () => this.#listeners.delete(follower);
  }

  notifyListeners(item: StreamItem): void {
    for (const follower of [...this.#listeners]) follower(item);
  }
}
