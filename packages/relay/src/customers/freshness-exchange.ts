/**
 * Asks other instances how recent their configuration is, while this one reads too little of
 * its own: the store is cut off, or an aggregator reads for it. Only an answer to a question
 * counts. A message that was pushed may have been delayed for any time.
 */
import type { EraTracker, Failure, Kernel, Peer } from '@medlarlever/core';
import { addJitter, sleep } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import { routeConfigurationSchema } from '../routes/route-configuration.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import { readClocks } from '../shared/clock-reading.js';
import type { ClockReading } from '../shared/clock-reading.js';

import type { ConfigurationFreshness } from './configuration-freshness.js';

const freshnessMethod = 'relay.configuration';
const answerTimeoutMs = 600;

/** Others are asked when the configuration is older than this. */
const askAgeMs = 1_200;
const askIntervalMs = 600;

/** The same for long and short delays of a withdrawal, as shares of it. */
const minAskAgeShare = 0.4;
const maxAskAgeShare = 0.5;
const maxAskIntervalShare = 0.2;

/**
 * Share of the longest delay of a withdrawal from which the instance also reads the store
 * itself: the others are slow, or do not know enough either.
 */
const ownReadAgeShare = 0.6;

/** An older instance that does not know the method is not asked again for this long. */
const unknownMethodPauseMs = 30_000;
const methodNotFoundCode = -32_601;

const questionSchema = z.object({ version: z.number() });

const answerSchema = z.object({
  /** Version of the configuration in force at the instance. */
  version: z.number(),
  /** Present if it is newer than the one that the question names. */
  configuration: routeConfigurationSchema.optional(),
  /** Age and era of the proof; absent if the instance has none. */
  ageMs: z.number().nonnegative().optional(),
  era: z.number().optional(),
});
type Answer = z.infer<typeof answerSchema>;

/** Dependencies of {@link FreshnessExchange}. */
export interface FreshnessExchangeOptions {
  readonly freshness: ConfigurationFreshness;
  readonly routes: RouteTableHolder;
  readonly eras: EraTracker;
  /** Longest delay of a withdrawal; undefined if the platform sets none. */
  readonly getMaxDelayMs: () => number | undefined;
  /** Chooses the instances to ask, without the excluded ones. */
  readonly choosePeers: (excluded: ReadonlySet<string>) => readonly Peer[];
  /** Reads the store out of turn. */
  readonly requestRead: () => void;
  readonly random: () => number;
}

/** Asks and answers the question. */
export class FreshnessExchange {
  #lastAskMs = -Infinity;
  /** Instances that do not know the method, and until when they are not asked. */
  readonly #pausedUntilMs = new Map<string, number>();
  #onNeeded: () => void = () => undefined;

  constructor(private readonly options: FreshnessExchangeOptions) {
    options.routes.onTableChange(() => {
      this.#onNeeded();
    });
  }

  /** Registers the peer method that answers the question. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(freshnessMethod, params =>
      Promise.resolve(
        Right(this.#answer(questionSchema.parse(params).version)),
      ),
    );
  }

  /** Asks whenever the configuration is too old, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const waitMs = this.#getWaitMs();
      if (waitMs === undefined) await this.#waitUntilNeeded(signal);
      else if (waitMs > 0)
        await sleep(addJitter(waitMs, this.options.random, 0.1), signal);
      else {
        if (this.#isMuchTooOld()) this.options.requestRead();
        await this.#ask();
      }
    }
  }

  /** Asks at once unless others were asked just before. */
  askNow(): void {
    const waitMs = this.#getPauseMs();
    if (waitMs !== undefined && waitMs <= 0) void this.#ask();
  }

  #isMuchTooOld(): boolean {
    const { freshness, getMaxDelayMs } = this.options;
    const maxAgeMs = (getMaxDelayMs() ?? Infinity) * ownReadAgeShare;
    return freshness.getAgeMs(readClocks()) > maxAgeMs;
  }

  /** Time until the next question; undefined while none is needed. */
  #getWaitMs(): number | undefined {
    const pauseMs = this.#getPauseMs();
    const maxDelayMs = this.options.getMaxDelayMs();
    if (pauseMs === undefined || maxDelayMs === undefined) return undefined;
    const maxAgeMs = Math.min(
      Math.max(askAgeMs, maxDelayMs * minAskAgeShare),
      maxDelayMs * maxAskAgeShare,
    );
    const ageMs = this.options.freshness.getAgeMs(readClocks());
    return Math.max(pauseMs, maxAgeMs - ageMs);
  }

  /** Time for which nobody may be asked; undefined while no question is needed. */
  #getPauseMs(): number | undefined {
    const { routes, getMaxDelayMs } = this.options;
    const maxDelayMs = getMaxDelayMs();
    const isNeeded = routes.currentTable?.requiresKeys ?? false;
    if (!isNeeded || maxDelayMs === undefined) return undefined;
    const intervalMs = Math.min(
      askIntervalMs,
      maxDelayMs * maxAskIntervalShare,
    );
    return this.#lastAskMs + intervalMs - performance.now();
  }

  #waitUntilNeeded(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      this.#onNeeded = () => {
        if (this.#getWaitMs() !== undefined) resolve();
      };
      signal.addEventListener('abort', () => {
        resolve();
      });
    });
  }

  async #ask(): Promise<void> {
    const nowMs = performance.now();
    this.#lastAskMs = nowMs;
    for (const [name, untilMs] of this.#pausedUntilMs)
      if (untilMs <= nowMs) this.#pausedUntilMs.delete(name);
    const paused = new Set(this.#pausedUntilMs.keys());
    const peers = this.options.choosePeers(paused);
    await Promise.all(peers.map(peer => this.#askPeer(peer)));
  }

  async #askPeer(peer: Peer): Promise<void> {
    const sentAt = readClocks();
    const reply = await peer.callMethod(
      freshnessMethod,
      { version: this.options.routes.version },
      { timeoutMs: answerTimeoutMs },
    );
    reply
      .ifRight(value => {
        const answer = answerSchema.safeParse(value);
        if (answer.success) this.#recordAnswer(answer.data, peer.name, sentAt);
      })
      .ifLeft(failure => {
        if (isMethodUnknown(failure))
          this.#pausedUntilMs.set(
            peer.name,
            performance.now() + unknownMethodPauseMs,
          );
      });
  }

  /** The proof counts only once the configuration that it covers is in force here. */
  #recordAnswer(answer: Answer, from: string, sentAt: ClockReading): void {
    const { routes, eras, freshness } = this.options;
    const { configuration, ageMs, era, version } = answer;
    if (configuration !== undefined) routes.applyIfNewer(configuration, from);
    if (ageMs === undefined || era === undefined) return;
    if (routes.version < version || !eras.recordEra(era)) return;
    freshness.recordAnswer({ sentAt, ageMs, era }, readClocks());
  }

  #answer(knownVersion: number): Answer {
    const { routes, freshness } = this.options;
    const now = readClocks();
    const ageMs = freshness.getAgeMs(now);
    return {
      version: routes.version,
      configuration:
        routes.version > knownVersion
          ? routes.currentTable?.configuration
          : undefined,
      ageMs: Number.isFinite(ageMs) ? ageMs : undefined,
      era: freshness.getProofEra(now),
    };
  }
}

const isMethodUnknown = ({ cause }: Failure): boolean =>
  cause instanceof Error &&
  'code' in cause &&
  cause.code === methodNotFoundCode;
