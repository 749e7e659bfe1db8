/** One generation inside a simulated engine, with its followers. */
import { estimateTokens } from '@medlarlever/core';
import type {
  Chunk,
  GenerationTask,
  StreamEnd,
  StreamItem,
} from '@medlarlever/core';

import { answerTokens, answerWriter } from '../shared/deterministic-outputs.js';

/** What a job is asked to generate; the deadline does not reach the engine. */
export type JobRequest = Omit<GenerationTask, 'deadline'>;

/** Receives a stream; called until an end or failure, or until detached. */
export type Follower = (item: StreamItem) => void;

export type JobState = 'queued' | 'prefill' | 'decode' | 'ended';

export class GenerationJob {
  state: JobState = 'queued';
  readonly promptTokens: number;
  /** Prompt tokens still to be prefilled. */
  prefillLeft: number;
  readonly chunks: Chunk[] = [];
  end: StreamEnd | undefined;
  endedAtMs = 0;
  readonly #followers = new Set<Follower>();
  readonly #text: (index: number) => string;
  readonly #tokens: number;
  readonly #first: number;

  constructor(readonly request: JobRequest) {
    this.promptTokens = estimateTokens(request.prompt);
    this.prefillLeft = this.promptTokens;
    this.#text = answerWriter(request.prompt, request.model);
    this.#tokens = answerTokens(request.prompt, request.maxTokens);
    this.#first = request.continuation?.tokens ?? 0;
  }

  /** Tokens of the answer so far, continued ones included. */
  get outputTokens(): number {
    return this.#first + this.chunks.length;
  }

  get finished(): boolean {
    return (
      this.request.isPrefillOnly === true || this.outputTokens >= this.#tokens
    );
  }

  /** Generates the next token. */
  step(): void {
    const index = this.outputTokens;
    const chunk = { index, text: this.#text(index) };
    this.chunks.push(chunk);
    this.tell({ kind: 'chunk', chunk });
  }

  /** Ends the stream; later calls do nothing. */
  finish(reason?: StreamEnd['reason']): void {
    if (this.end !== undefined) return;
    const natural =
      this.outputTokens < this.request.maxTokens ? 'stop' : 'length';
    this.end = {
      reason: reason ?? natural,
      promptTokens: this.promptTokens,
      outputTokens: this.outputTokens,
    };
    this.state = 'ended';
    this.endedAtMs = Date.now();
    this.tell({ kind: 'end', end: this.end });
    this.#followers.clear();
  }

  /** Sends what came after chunk `after`, then what comes. */
  follow(after: number, follower: Follower): () => void {
    for (const chunk of this.chunks) {
      if (chunk.index > after) follower({ kind: 'chunk', chunk });
    }
    if (this.end !== undefined) {
      follower({ kind: 'end', end: this.end });
      return () => undefined;
    }
    this.#followers.add(follower);
    return () => this.#followers.delete(follower);
  }

  tell(item: StreamItem): void {
    for (const follower of [...this.#followers]) follower(item);
  }
}
