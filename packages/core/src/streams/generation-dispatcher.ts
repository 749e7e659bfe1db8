/** Interface for running generations, independent of engine and attempt. */
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
  /**
   * True if the generation continues after the caller disconnects, so that the
   * caller can resume its stream.
   */
  readonly isBackground?: boolean;
}

/**
 * One item of a caller's stream. `started` comes once, before the first chunk,
 * with the id by which any instance can resume the stream.
 */
export type AnswerItem =
  { readonly kind: 'started'; readonly id: string } | StreamItem;

/** Runs generations and resumes their streams. */
export abstract class GenerationDispatcher {
  /**
   * Yields `started`, chunks with rising `index` and no gap, then one `end` or
   * one `failure`. A broken stream is resumed at its engine or continued on
   * another engine. A failure before the first dispatch comes without `started`.
   */
  abstract dispatchGeneration(
    request: GenerationRequest,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem>;

  /**
   * Resumes the stream `id` of `customer`, which any instance may have started.
   * Yields the chunks after index `after`; -1 yields all chunks.
   */
  abstract resumeStream(
    id: string,
    customer: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<AnswerItem>;
}
