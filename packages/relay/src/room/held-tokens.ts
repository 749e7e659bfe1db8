/** Counts the memory that this instance's requests take at one engine. */
import type { Prompt } from '../requests/relay-request.js';

import { turnWindowMs } from './engine-room.js';

/** Memory that one request takes at an engine. */
export interface TokenDemand {
  /** Segments that requests with the same beginning share. */
  readonly sharedSegments: Prompt['segments'];
  /** Tokens of the request alone, with the output that may come. */
  readonly ownTokens: number;
}

/** Memory of a request that is decoded, or only read with `outputTokens` of 0. */
export const createTokenDemand = (
  { segments, tokens }: Prompt,
  outputTokens: number,
): TokenDemand => {
  const sharedSegments = segments.slice(0, -1);
  const sharedTokens = sharedSegments.reduce(
    (sum, segment) => sum + segment.tokens,
    0,
  );
  const ownTokens = Math.max(0, tokens - sharedTokens) + outputTokens;
  return { sharedSegments, ownTokens };
};

interface HeldSegment {
  readonly tokens: number;
  readonly holderCount: number;
}

interface RecentSend {
  readonly atMs: number;
  readonly tokens: number;
}

/** Tokens held by this instance's requests; a shared segment counts once. */
export class HeldTokens {
  readonly #segments = new Map<string, HeldSegment>();
  #recentSends: RecentSend[] = [];
  #tokens = 0;
  #requestCount = 0;

  get tokens(): number {
    return this.#tokens;
  }

  /** Requests whose tokens are counted. */
  get requestCount(): number {
    return this.#requestCount;
  }

  /** Tokens added within the window of a turn. */
  get recentTokens(): number {
    return this.#listRecentSends().reduce((sum, { tokens }) => sum + tokens, 0);
  }

  /** Tokens that the request would add to those that are held. */
  countAddedTokens({ sharedSegments, ownTokens }: TokenDemand): number {
    let tokens = ownTokens;
    let isShared = true;
    for (const segment of sharedSegments) {
      isShared &&= this.#segments.has(segment.id);
      if (!isShared) tokens += segment.tokens;
    }
    return tokens;
  }

  /** Holds the tokens of a request; the returned function frees them, once. */
  hold(demand: TokenDemand): () => void {
    const { sharedSegments, ownTokens } = demand;
    const previousTokens = this.#tokens;
    for (const { id, tokens } of sharedSegments) this.#holdSegment(id, tokens);
    this.#tokens += ownTokens;
    this.#requestCount += 1;
    const tokens = this.#tokens - previousTokens;
    this.#recentSends = this.#listRecentSends();
    this.#recentSends.push({ atMs: performance.now(), tokens });
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      for (const { id } of sharedSegments) this.#freeSegment(id);
      this.#tokens -= ownTokens;
      this.#requestCount -= 1;
    };
  }

  #listRecentSends(): RecentSend[] {
    const sinceMs = performance.now() - turnWindowMs;
    return this.#recentSends.filter(({ atMs }) => atMs > sinceMs);
  }

  #holdSegment(id: string, tokens: number): void {
    const held = this.#segments.get(id);
    if (held === undefined) this.#tokens += tokens;
    this.#segments.set(id, {
      tokens: held?.tokens ?? tokens,
      holderCount: (held?.holderCount ?? 0) + 1,
    });
  }

  #freeSegment(id: string): void {
    const held = this.#segments.get(id);
    if (held === undefined) return;
    const holderCount = held.holderCount - 1;
    if (holderCount > 0) {
      this.#segments.set(id, { ...held, holderCount });
      return;
    }
    this.#segments.delete(id);
    this.#tokens -= held.tokens;
  }
}
