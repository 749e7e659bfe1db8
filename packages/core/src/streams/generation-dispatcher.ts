/** Runs a generation on some engine and yields its answer whole. */
import type { Entitlement } from '../config/entitlement.js';
import type { Deadline } from '../shared/time.js';
import type { ModelId, StreamItem } from '../target/target.js';

/** An admitted request for a generation. */
export interface GenerationRequest {
  readonly id: string;
  readonly entitlement: Entitlement;
  readonly model: ModelId;
  readonly prompt: string;
  /** Estimated tokens of `prompt`. */
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly deadline: Deadline;
  /** Digest of customer, model, prompt and sampling settings. */
  readonly fingerprint: string;
  /** Goes on when the caller has gone, to be rejoined. */
  readonly isBackground?: boolean;
}

/**
 * What a caller's stream consists of. `started` comes once, before the first
 * chunk, with the id by which any instance can rejoin the stream.
 */
export type AnswerItem =
  { readonly kind: 'started'; readonly id: string } | StreamItem;

export abstract class GenerationDispatcher {
  /**
   * Yields `started`, chunks with rising `index` and no gap, then one `end` or
   * one `failure`. Breaks are mended by resuming, or by continuing elsewhere.
   * A failure before anything was dispatched comes without `started`.
   */
  abstract dispatchGeneration(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem>;

  /** Rejoins the stream of an earlier dispatch, by whichever instance. */
  abstract resumeStream(
    id: string,
    customer: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem>;
}
