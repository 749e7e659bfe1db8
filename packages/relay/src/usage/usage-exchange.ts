/**
 * Sends the totals of this instance to the instances that may report them, and
 * receives those of the other instances.
 */
import type { Kernel, Peer } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { TrueTime } from './true-time.js';
import type { UsageCounter } from './usage-counter.js';
import { windowTotalsSchema } from './usage-totals.js';
import type { UsageTotals } from './usage-totals.js';

const totalsMethod = 'relay.usage-totals';
const requestMethod = 'relay.usage-request';

const totalsMessageSchema = z.object({
  incarnation: z.string(),
  totals: z.array(windowTotalsSchema),
  /** Last window of which the sender will send no more. */
  final: z.number().int().optional(),
});
type TotalsMessage = z.infer<typeof totalsMessageSchema>;

const requestSchema = z.object({ fromWindow: z.number().int() });

/** What is counted in this time is lost if this instance is lost. */
const sendIntervalMs = 500;

/**
 * Interval in deployments with more than 16 instances. An instance is then a
 * smaller part of the whole, and the receivers have that many more messages.
 */
const largeDeploymentSendIntervalMs = 1_000;

/** Totals sent to all receivers together, in bytes a second. */
const maxBytesPerSecond = 9_000;
const maxSendIntervalMs = 1_500;

const sendTimeoutMs = 1_000;

/** Time after the end of a window in which its last requests may be counted. */
const finalDelayMs = 1_300;

/** Spreads the messages at the end of a window, so that they don't arrive at once. */
const finalSpreadMs = 300;

/** Time for which an instance that asked for totals gets them unasked. */
const subscriptionMs = 10_000;

/** Time allowed for the last totals when the process stops. */
const flushTimeoutMs = 400;
const msPerSecond = 1_000;

/** Dependencies of {@link UsageExchange}. */
export interface UsageExchangeOptions {
  readonly self: string;
  readonly incarnation: string;
  readonly counter: UsageCounter;
  readonly totals: UsageTotals;
  readonly time: TrueTime;
  readonly random: () => number;
  readonly windowMs: number;
  /** Number of windows, before the current one, whose totals are kept. */
  readonly keptWindows: number;
  /** Returns the names of the instances that may lead. */
  readonly listCandidates: () => readonly string[];
  readonly findPeer: (name: string) => Peer | undefined;
  /** Returns the incarnations of all instances that are not suspected to be lost. */
  readonly listLiveIncarnations: () => ReadonlySet<string>;
  readonly notifyAll: (method: string, params: unknown) => void;
  readonly isLargeDeployment: () => boolean;
}

/** What an incarnation of a receiver has acknowledged. */
interface Receiver {
  readonly incarnation: string;
  position: number;
  finalWindow: number;
}

/** Exchanges the totals. No timer runs while nothing is counted. */
export class UsageExchange {
  readonly #options: UsageExchangeOptions;
  readonly #receivers = new Map<string, Receiver>();
  /** Instances that asked for totals, with the monotonic time until which they get them. */
  readonly #subscriptions = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;
  #finalTimer: NodeJS.Timeout | undefined;
  #isSending = false;
  #lastSentBytes = 0;
  #forgottenBefore = -Infinity;
  #isStopped = false;
  /** Set at the stop: the last window for which others might wait. */
  #lastWindow: number | undefined;

  constructor(options: UsageExchangeOptions) {
    this.#options = options;
    options.counter.onChange = () => {
      this.#schedule(this.#pacedIntervalMs);
      this.#scheduleFinal();
    };
  }

  /** Registers the peer methods. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(totalsMethod, params => {
      this.#receive(totalsMessageSchema.parse(params));
      return Promise.resolve(Right(null));
    });
    kernel.registerPeerMethod(requestMethod, (params, from) => {
      const { fromWindow } = requestSchema.parse(params);
      this.#subscriptions.set(from, performance.now() + subscriptionMs);
      void this.#sendTotalsOfLostInstances(from, fromWindow);
      this.#schedule(0);
      return Promise.resolve(Right(null));
    });
  }

  /** Asks all instances for the totals that this one does not have. */
  requestTotals(fromWindow: number): void {
    this.#options.notifyAll(requestMethod, { fromWindow });
  }

  /** Takes over the counts of this instance. */
  collectOwnTotals(): void {
    const { counter, totals, incarnation } = this.#options;
    totals.recordTotals(
      incarnation,
      counter.listChangedSince(0, this.#oldestKeptWindow),
    );
    totals.recordFinal(incarnation, this.#finalWindow);
  }

  /** Sends what was counted last. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#finalTimer);
    // Nothing is counted any more, so that no later window has to wait for this instance.
    this.#lastWindow = this.#options.counter.currentWindow + 2;
    await this.#sendToAll(flushTimeoutMs);
  }

  get #pacedIntervalMs(): number {
    const intervalMs = this.#options.isLargeDeployment()
      ? largeDeploymentSendIntervalMs
      : sendIntervalMs;
    const pauseMs = (this.#lastSentBytes / maxBytesPerSecond) * msPerSecond;
    return Math.min(maxSendIntervalMs, Math.max(intervalMs, pauseMs));
  }

  get #oldestKeptWindow(): number {
    return this.#options.counter.currentWindow - this.#options.keptWindows;
  }

  /** Last window of which nothing more is counted here. */
  get #finalWindow(): number {
    if (this.#lastWindow !== undefined) return this.#lastWindow;
    const { time, windowMs } = this.#options;
    return Math.floor((time.nowMs - finalDelayMs) / windowMs) - 1;
  }

  /** Forgets windows that are too old to be reported, once in each window. */
  #forgetOldWindows(): void {
    const oldestWindow = this.#oldestKeptWindow;
    if (oldestWindow === this.#forgottenBefore) return;
    this.#forgottenBefore = oldestWindow;
    this.#options.counter.forgetBefore(oldestWindow);
    this.#options.totals.forgetBefore(oldestWindow);
  }

  #receive({ incarnation, totals, final }: TotalsMessage): void {
    this.#forgetOldWindows();
    this.#options.totals.recordTotals(incarnation, totals);
    if (final !== undefined)
      this.#options.totals.recordFinal(incarnation, final);
  }

  #schedule(delayMs: number): void {
    if (this.#isStopped || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      void this.#send();
    }, delayMs);
    this.#timer.unref();
  }

  /**
   * Schedules a message for the time when nothing more is counted in the window.
   * Without it, the holder could not tell an idle instance from one that is cut off.
   */
  #scheduleFinal(): void {
    if (this.#isStopped || this.#finalTimer !== undefined) return;
    const { windowMs, time, counter, random } = this.#options;
    const windowEndMs = (counter.currentWindow + 1) * windowMs;
    const delayMs =
      windowEndMs - time.nowMs + finalDelayMs + random() * finalSpreadMs;
    this.#finalTimer = setTimeout(() => {
      this.#finalTimer = undefined;
      this.#schedule(0);
      // The window after one with requests is awaited as well.
      if (counter.hasCounts(this.#finalWindow)) this.#scheduleFinal();
    }, delayMs);
    this.#finalTimer.unref();
  }

  async #send(): Promise<void> {
    if (this.#isSending) {
      this.#schedule(this.#pacedIntervalMs);
      return;
    }
    this.#isSending = true;
    const isAcknowledged = await this.#sendToAll(sendTimeoutMs);
    this.#isSending = false;
    if (!isAcknowledged) this.#schedule(this.#pacedIntervalMs);
  }

  /** Sends to each receiver what it has not acknowledged; true if all have now. */
  async #sendToAll(timeoutMs: number): Promise<boolean> {
    this.#forgetOldWindows();
    this.#lastSentBytes = 0;
    const sends = this.#listReceivers().map(name =>
      this.#sendTo(name, timeoutMs),
    );
    return (await Promise.all(sends)).every(isAcknowledged => isAcknowledged);
  }

  #listReceivers(): string[] {
    const nowMs = performance.now();
    for (const [name, untilMs] of this.#subscriptions)
      if (untilMs < nowMs) this.#subscriptions.delete(name);
    const { listCandidates, self } = this.#options;
    const names = new Set([...listCandidates(), ...this.#subscriptions.keys()]);
    return [...names].filter(name => name !== self);
  }

  async #sendTo(name: string, timeoutMs: number): Promise<boolean> {
    const peer = this.#options.findPeer(name);
    if (peer === undefined) return true;
    const receiver = this.#getOrCreateReceiver(peer);
    const { counter, incarnation } = this.#options;
    const { position } = counter;
    const totals = counter.listChangedSince(
      receiver.position,
      this.#oldestKeptWindow,
    );
    const final = this.#finalWindow;
    if (totals.length === 0 && final <= receiver.finalWindow) return true;
    const message: TotalsMessage = { incarnation, totals, final };
    this.#lastSentBytes += JSON.stringify(message).length;
    const reply = await peer.callMethod(totalsMethod, message, { timeoutMs });
    if (reply.isRight()) {
      receiver.position = position;
      receiver.finalWindow = final;
    }
    return reply.isRight();
  }

  #getOrCreateReceiver({ name, incarnation }: Peer): Receiver {
    const existing = this.#receivers.get(name);
    if (existing?.incarnation === incarnation) return existing;
    const receiver = { incarnation, position: 0, finalWindow: -Infinity };
    this.#receivers.set(name, receiver);
    return receiver;
  }

  /** Passes on what instances that no longer answer had sent to this one. */
  async #sendTotalsOfLostInstances(
    name: string,
    fromWindow: number,
  ): Promise<void> {
    const { totals, listLiveIncarnations, incarnation, findPeer } =
      this.#options;
    const live = listLiveIncarnations();
    const messages = totals
      .listTotals(fromWindow)
      .filter(([lost]) => lost !== incarnation && !live.has(lost))
      .filter(([, windows]) => windows.length > 0)
      .map(([lost, windows]) => ({ incarnation: lost, totals: windows }));
    for (const message of messages) {
      await findPeer(name)?.callMethod(totalsMethod, message, {
        timeoutMs: sendTimeoutMs,
      });
    }
  }
}
