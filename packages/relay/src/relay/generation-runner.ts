/**
 * Runs a generation: prefills the prompt at a prefill engine or at the decode engine
 * itself and forwards the response stream to the caller.
 */
import { Failure } from '@medlarlever/core';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { AnswerProgress } from '../crashes/answer-progress.js';
import { createPoisonPromptFailure } from '../crashes/poison-prompt-failure.js';
import { selectSharedParts } from '../crashes/target-crash.js';
import type { SharedParts } from '../crashes/target-crash.js';
import type { StreamOrigin } from '../origins/stream-origin.js';
import { EventGapMeter } from '../placement/event-gaps.js';
import { kvTransferMs } from '../placement/placement.js';
import type { Placement } from '../placement/placement.js';
import { prefillOverheadMs } from '../placement/prefill-speed.js';
import { estimateSlotWaitMs } from '../placement/slot-wait.js';
import { computeUrgency, goesBehind } from '../placement/urgency.js';
import type { UrgencyOptions } from '../placement/urgency.js';
import type { Prompt } from '../requests/relay-request.js';
import type { SendResult } from '../retries/request-retries.js';
import type { EngineSettings } from '../routes/route-configuration.js';
import type { TargetState } from '../targets/target-state.js';

import { createPhaseDemand } from '../room/room-check.js';
import type { EnginePhase } from '../room/room-check.js';

import { StreamingResponseSink } from './response-sinks.js';
import { computeEventStallMs, minStreamStallTimeoutMs } from './event-stall.js';
import { GenerationPlacer } from './generation-placer.js';
import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay-dependencies.js';
import { RoomShortage, RoomWait } from './room-wait.js';
import { RequestRunner, minServerErrorStatus } from './request-runner.js';
import { isConnectFailure } from './send-failures.js';
import type { FailedSendOutcome } from './send-failures.js';
import { recordSendAbort } from './send-abort.js';
import type { SendWatchdog } from './send-watchdog.js';
import { recordTargetFailure, recordTargetSuccess } from './target-outcomes.js';
import type { FailedSend } from './target-outcomes.js';
import type { KvCacheHandle, PrefillOutcome } from './target-client.js';

/** Shortest silence after which a prefill is aborted. */
const minPrefillStallTimeoutMs = 2_500;

/**
 * A send is aborted for silence only after this many times its expected duration.
 */
const stallTimeoutFactor = 4;

type FailedPrefillOutcome = Exclude<PrefillOutcome, { kind: 'read' }>;

/** Runs one generation, with new attempts at other targets if needed. */
export class GenerationRunner extends RequestRunner {
  readonly #responseSink: StreamingResponseSink;
  readonly #placer: GenerationPlacer;
  readonly #roomWait: RoomWait;
  /** Parts of the prompt that other prompts may share. */
  readonly #sharedParts: SharedParts;
  /** KV cache of a finished prefill that no decode engine has taken yet. */
  #kvCacheHandle: KvCacheHandle | undefined;
  /** Engine that holds the KV cache of `#kvCacheHandle`. */
  #kvCacheTarget: TargetState | undefined;
  /** True if it is not known which software version made the first events. */
  #isOriginUnknown = false;
  /** Frees the memory of the KV cache that a prefill engine holds. */
  #endPrefillHold: () => void = () => undefined;
  /** Frees the memory that the request takes at its decode engine. */
  #endDecodeHold: () => void = () => undefined;
  /**
   * Called for each write of event data; the first call shows that the prefill
   * is complete.
   */
  #onEvent: () => boolean = () => true;

  constructor(
    dependencies: RelayDependencies,
    context: RequestContext,
    private readonly prompt: Prompt,
    private readonly engineSettings: EngineSettings,
  ) {
    super(dependencies, context);
    const { excludedTargets } = this;
    this.#sharedParts = selectSharedParts(
      prompt.segments.slice(0, -1).map(({ id }) => id),
    );
    const placerOptions = {
      dependencies,
      context,
      prompt,
      engineSettings,
      excludedTargets,
    };
    this.#placer = new GenerationPlacer(placerOptions);
    this.#roomWait = new RoomWait(placerOptions);
    const { route, caller } = context;
    const onBytes = () => {
      context.recordFirstBytes();
      return this.#onEvent();
    };
    const acceptsStatus = (status: number) =>
      caller.hasStarted
        ? status === 200
        : status < minServerErrorStatus || !this.canRetry();
    this.#responseSink = new StreamingResponseSink({
      caller,
      answerBuffer: this.answerBuffer,
      acceptsStatus,
      onBytes,
      isResumable: route.resumable,
      mayBeEmpty: context.request.resumeAfterEventId !== undefined,
    });
  }

  override async run(): Promise<void> {
    try {
      await super.run();
    } finally {
      this.#endPrefillHold();
      this.#endDecodeHold();
    }
  }

  protected override async runAttempts(): Promise<void> {
    const { context } = this;
    if (
      this.dependencies.boundsEngineMemory() &&
      this.prompt.tokens > this.engineSettings.kvTokens
    ) {
      this.failRequest(createPromptTooLargeFailure(this.engineSettings));
      return;
    }
    this.serviceState.requestTokensAverage.addSample(
      this.prompt.tokens + this.prompt.maxOutputTokens,
    );
    let isFirstPlacement = true;
    for (;;) {
      if (context.signal.aborted) {
        this.failRequest(context.createDeadlineFailure());
        return;
      }
      if (this.#isRefused()) return;
      this.#onEvent = () => true;
      if (await this.tryForward(this.#responseSink)) {
        this.#releaseKvCache();
        return;
      }
      const place = isFirstPlacement
        ? () => this.#placer.placeWithAdmission()
        : () => this.#placer.placeRetry();
      const placementResult = this.#placeNow(place);
      const placement = (
        placementResult ?? (await this.#placeWithRoom(place))
      ).extract();
      if (placement instanceof Failure) {
        if (await this.isCutOffAfterAll()) continue;
        this.failRequest(placement);
        return;
      }
      isFirstPlacement = false;
      const { prefillTarget } = placement;
      if (prefillTarget !== undefined && this.#kvCacheHandle === undefined) {
        if (!this.reserveOrFail('prefill')) return;
        // No prompt is prefilled for a decode engine that may not be sent to then.
        const returnPermit = placement.decodeTarget.limiter.holdPermit();
        const prefillResult = await this.#runPrefill(prefillTarget, placement);
        returnPermit();
        if (prefillResult === 'ended') return;
        if (prefillResult === 'again') continue;
      }
      if (this.#isRefused()) return;
      const update = () => this.#updateDecodeTarget(placement);
      const updateResult = this.#placeNow(update);
      const updatedPlacement = (
        updateResult ?? (await this.#placeWithRoom(update))
      ).extract();
      if (updatedPlacement instanceof Failure) {
        this.failRequest(updatedPlacement);
        return;
      }
      if (!this.reserveOrFail('run')) return;
      if (await this.#sendToTarget(updatedPlacement)) return;
    }
  }

  /** Tokens already computed for the request. */
  get #workTokens(): number {
    const prefillTokens =
      this.#kvCacheHandle === undefined ? 0 : this.prompt.tokens;
    return prefillTokens + this.#responseSink.writeCount;
  }

  /** Places the request at once; undefined if it must wait for room. */
  #placeNow<T>(
    place: () => Either<Failure, T>,
  ): Either<Failure, T> | undefined {
    if (this.#roomWait.mustWait(this.#workTokens)) return undefined;
    const result = place();
    return result.extract() instanceof RoomShortage ? undefined : result;
  }

  #placeWithRoom<T>(
    place: () => Either<Failure, T>,
  ): Promise<Either<Failure, T>> {
    return this.#roomWait.place(place, this.#workTokens);
  }

  /** Holds memory for the request at the engine; the returned function frees it. */
  #holdTokens(target: TargetState, phase: EnginePhase): () => void {
    const { kvTokens } = this.engineSettings;
    return target.heldTokens.hold(
      createPhaseDemand(this.prompt, phase, kvTokens),
    );
  }

  /** Fails the request and returns true if a part of its prompt crashes targets. */
  #isRefused(): boolean {
    const { context, dependencies } = this;
    const cause = dependencies.promptQuarantine.findCause(this.#sharedParts);
    if (cause === undefined) return false;
    dependencies.metrics.recordRefusedPrompt(context.service);
    context.addLogFields({
      parts: cause.parts,
      crashed: cause.crashes.map(({ target }) => target),
    });
    this.failRequest(createPoisonPromptFailure(cause, context.mayHaveExecuted));
    return true;
  }

  protected override canRetry(): boolean {
    const { route } = this.context;
    return (
      route.resumable &&
      this.#responseSink.canBeContinued &&
      !this.#isOriginUnknown &&
      this.possibleExecutionCount + 1 < route.maxAttempts
    );
  }

  protected override canPlace(): boolean {
    return this.#placer.chooseDecodeTarget().isRight();
  }

  protected override failRequest(failure: Failure): void {
    this.#releaseKvCache();
    super.failRequest(failure);
  }

  /**
   * Chooses the decode engine again after a prefill at another engine: the one chosen
   * before the prefill may be leaving or full by now.
   */
  #updateDecodeTarget(placement: Placement): Either<Failure, Placement> {
    if (this.#kvCacheHandle === undefined) return Right(placement);
    return this.#placer
      .chooseDecodeTarget()
      .map(decodeTarget => ({ ...placement, decodeTarget }));
  }

  #releaseKvCache(): void {
    this.#endPrefillHold();
    // An engine that wants no requests frees the KV cache when its time is over.
    const acceptsRequests = this.#kvCacheTarget?.acceptsRequests ?? true;
    if (this.#kvCacheHandle !== undefined && acceptsRequests) {
      this.#kvCacheTarget?.limiter.takePermit();
      this.dependencies.targetClient.releaseKvCache(this.#kvCacheHandle);
    }
    this.#kvCacheHandle = undefined;
  }

  /**
   * What the urgency depends on at an engine that must compute the tokens and is expected
   * to make the first event in `expectedMs`.
   */
  #createUrgencyOptions(
    prefillTokens: number,
    expectedMs: number,
  ): UrgencyOptions {
    const { rank, route } = this.context;
    const { prefillSpeed } = this.serviceState;
    return {
      rank,
      prefillMs: prefillSpeed.estimatePrefillMs(prefillTokens),
      promptMs: prefillSpeed.estimatePrefillMs(this.prompt.tokens),
      latencyTargetMs: route.latencyTargetMs,
      expectedLatencyMs: this.#expectLatency(expectedMs),
    };
  }

  #estimateSlotWaitMs(target: TargetState): number {
    const { decodeRequests, streamMsAverage } = this.serviceState;
    return estimateSlotWaitMs({
      requestCount: target.activeRequestCount,
      lateShare: decodeRequests.lateShare,
      slots: this.engineSettings.slots,
      slotMs: streamMsAverage.value,
    });
  }

  /** Expected time from the arrival to the first event; 0 once the caller has events. */
  #expectLatency(expectedMs: number): number {
    const { context } = this;
    const hasEvents =
      this.#responseSink.writeCount > 0 ||
      context.request.resumeAfterEventId !== undefined;
    return hasEvents ? 0 : context.elapsedMs + expectedMs;
  }

  /**
   * Adds the prompt to the target's pending prefills; the returned function removes
   * it.
   */
  #startPrefill(
    target: TargetState,
    prefillTokens: number,
    expectedMs: number,
  ): () => void {
    const { segments } = this.prompt;
    this.serviceState.assignedPrefillTokens += prefillTokens;
    this.dependencies.onPrefillStart(target.record.id, segments, expectedMs);
    return target.startPrefill(segments, prefillTokens, expectedMs);
  }

  /**
   * Runs the prefill at a prefill engine. Returns `read` on success, `again` when
   * the request is to be placed again and `ended` when it has failed.
   */
  async #runPrefill(
    target: TargetState,
    { prefillTokens, copySource, expectedFirstEventMs }: Placement,
  ): Promise<'read' | 'again' | 'ended'> {
    const { context, dependencies } = this;
    const { record } = target;
    const queuedTokens = target.pendingPrefillTokens + prefillTokens;
    const endPrefill = this.#startPrefill(
      target,
      prefillTokens,
      expectedFirstEventMs,
    );
    const endRequest = this.startRequest(target);
    this.#endPrefillHold = this.#holdTokens(target, 'prefill');
    this.serviceState.prefillTokensAverage.addSample(prefillTokens);
    copySource?.limiter.takePermit();
    const startedAtMs = performance.now();
    const watchdog = this.createWatchdog({
      target,
      expectedResponseMs: expectedFirstEventMs,
      stallTimeoutMs: Math.max(
        minPrefillStallTimeoutMs,
        stallTimeoutFactor * expectedFirstEventMs,
      ),
      // A prompt may be read twice.
      isExclusive: false,
    });
    context.recordPrefill();
    const endSend = this.retries.startSend();
    const outcome = await dependencies.targetClient.prefill(
      record,
      context.request,
      {
        remainingMs: context.remainingMs,
        urgency: computeUrgency(
          this.#createUrgencyOptions(prefillTokens, expectedFirstEventMs),
        ),
        copySourceAddress: copySource?.record.address,
        signal: watchdog.signal,
      },
    );
    endSend(getPrefillResult(outcome));
    watchdog.stop();
    endPrefill();
    endRequest();
    const elapsedMs = performance.now() - startedAtMs;
    context.addLogFields({ read_ms: Math.round(elapsedMs) });
    dependencies.metrics.recordSend(context.service, `prefill_${outcome.kind}`);
    if (outcome.kind !== 'read') {
      context.logEvent('attempt_failed', {
        target: target.record.id,
        step: 'prefill',
        took_ms: Math.round(elapsedMs),
        ...outcome,
        ...recordSendAbort(dependencies, context, { outcome, watchdog }),
      });
      return this.#handlePrefillFailure({ target, record }, outcome);
    }
    this.#recordPrefillSuccess(target, queuedTokens, elapsedMs);
    this.#kvCacheHandle = outcome.handover;
    this.#kvCacheTarget = target;
    return 'read';
  }

  #recordPrefillSuccess(
    target: TargetState,
    queuedTokens: number,
    elapsedMs: number,
  ): void {
    const { prefillSpeed } = this.serviceState;
    this.dependencies.metrics.recordPrefill(this.context.service, elapsedMs);
    prefillSpeed.addSample(queuedTokens, elapsedMs);
    recordTargetSuccess(this.dependencies, target);
    target.prefixCache.addSegments(this.prompt.segments);
    target.recordDuration(
      elapsedMs,
      prefillSpeed.estimatePrefillMs(queuedTokens) + prefillOverheadMs,
    );
  }

  #handlePrefillFailure(
    send: FailedSend,
    outcome: FailedPrefillOutcome,
  ): 'again' | 'ended' {
    const { context } = this;
    this.#endPrefillHold();
    if (context.signal.aborted) {
      this.failRequest(context.createDeadlineFailure());
      return 'ended';
    }
    recordTargetFailure(this.dependencies, context, send, outcome);
    this.excludedTargets.add(send.target);
    return this.retryOrFail(outcome) ? 'again' : 'ended';
  }

  /** Sends the request to the decode engine; true when the request has ended. */
  async #sendToTarget(placement: Placement): Promise<boolean> {
    const { context, dependencies } = this;
    const target = placement.decodeTarget;
    const { record } = target;
    const kvCacheHandle = this.#kvCacheHandle;
    const isColocated = kvCacheHandle === undefined;
    const endRequest = this.startRequest(target);
    this.#endDecodeHold = this.#holdTokens(target, 'decode');
    if (isColocated) placement.copySource?.limiter.takePermit();
    const originTeller = this.beginOrigin(record);
    const endPrefill = isColocated
      ? this.#startPrefill(
          target,
          placement.prefillTokens,
          placement.expectedFirstEventMs,
        )
      : this.#startPrefill(target, 0, kvTransferMs);
    const watchdog = this.#createSendWatchdog(
      target,
      placement.expectedFirstEventMs,
    );
    const expectedMs =
      this.#estimateSlotWaitMs(target) +
      (isColocated ? placement.expectedFirstEventMs : kvTransferMs);
    const urgencyOptions = this.#createUrgencyOptions(
      isColocated ? placement.prefillTokens : 0,
      expectedMs,
    );
    const endDecodeRequest = this.serviceState.decodeRequests.start(
      goesBehind(urgencyOptions),
    );
    const startedAtMs = performance.now();
    const eventGapMeter = new EventGapMeter();
    const answerProgress = new AnswerProgress(() => {
      dependencies.promptQuarantine.recordAnswer(this.#sharedParts);
    });
    this.#onEvent = () => {
      if (!this.acceptEvents(originTeller)) return false;
      this.#recordOrigin(originTeller.recordEvent());
      eventGapMeter.recordEvent();
      answerProgress.recordEvent();
      endPrefill();
      this.#endPrefillHold();
      target.recordAnswer();
      dependencies.targetLink.recordAnswer();
      return true;
    };
    this.#responseSink.onProgress = () => {
      watchdog?.recordActivity();
    };
    context.recordSend();
    const outcome = await this.sendOnce(
      record,
      {
        remainingMs: context.remainingMs,
        urgency: computeUrgency(urgencyOptions),
        kvCacheHandle,
        copySourceAddress: isColocated
          ? placement.copySource?.record.address
          : undefined,
        resumeAfterEventId: this.#responseSink.lastEventId,
        signal: watchdog?.signal ?? context.signal,
      },
      this.#responseSink,
    );
    watchdog?.stop();
    endPrefill();
    endRequest();
    this.#endDecodeHold();
    endDecodeRequest();
    this.#recordEventGap(target, eventGapMeter);
    dependencies.metrics.recordSend(context.service, outcome.kind);
    if (this.hasForeignEvents) return true;
    if (outcome.kind === 'whole') {
      this.#endPrefillHold();
      recordTargetSuccess(dependencies, target);
      answerProgress.complete();
      this.serviceState.decodeMsAverage.addSample(
        performance.now() - startedAtMs,
      );
      const { durationMs } = eventGapMeter;
      if (durationMs !== undefined)
        this.serviceState.streamMsAverage.addSample(durationMs);
      this.#responseSink.finish();
      context.completeRequest(outcome.status, record);
      return true;
    }
    context.logEvent('attempt_failed', {
      target: record.id,
      version: record.softwareVersion,
      attempt: context.sendCount,
      events: this.#responseSink.writeCount,
      handover: this.#kvCacheHandle?.address,
      ...outcome,
      ...recordSendAbort(dependencies, context, { outcome, watchdog }),
    });
    const suspectParts = answerProgress.isSuspect ? this.#sharedParts : [];
    return this.#handleStreamFailure({ target, record, suspectParts }, outcome);
  }

  /** The first event fixes the software version at which the stream may go on. */
  #recordOrigin(origin: StreamOrigin | undefined): void {
    if (origin !== undefined) {
      this.context.origin ??= origin;
      return;
    }
    this.#isOriginUnknown = true;
    this.context.addLogFields({ began_at: 'unknown' });
  }

  #recordEventGap(target: TargetState, { meanGapMs }: EventGapMeter): void {
    if (meanGapMs === undefined) return;
    this.dependencies.metrics.recordEventGap(this.context.service, meanGapMs);
    target.recordDuration(
      meanGapMs,
      this.serviceState.eventGapAverage.addSample(meanGapMs),
    );
  }

  #createSendWatchdog(
    target: TargetState,
    expectedResponseMs: number,
  ): SendWatchdog | undefined {
    if (!this.canRetry()) return undefined;
    const stallTimeoutMs = Math.max(
      minStreamStallTimeoutMs,
      stallTimeoutFactor * expectedResponseMs,
    );
    return this.createWatchdog({
      target,
      expectedResponseMs,
      stallTimeoutMs,
      eventStallMs: computeEventStallMs(this.context.route),
      isExclusive: true,
      isPaused: () => this.answerBuffer.isPaused,
    });
  }

  #handleStreamFailure(send: FailedSend, outcome: FailedSendOutcome): boolean {
    const { context } = this;
    // After a first rejection, the KV cache is kept for one more engine, because
    // the first one may only have been full. After that it is assumed to be lost.
    const keepsKvCache =
      isConnectFailure(outcome) ||
      (outcome.kind === 'not_executed' && context.sendCount === 1);
    if (!keepsKvCache) this.#releaseKvCache();
    return this.handleSendFailure(send, outcome);
  }
}

/** A prefill that broke off counts as an arrival: it is not known whether it has begun. */
const getPrefillResult = (outcome: PrefillOutcome): SendResult => {
  if (outcome.kind === 'read') return 'prefilled';
  return isConnectFailure(outcome) ? 'unsent' : 'arrived';
};

const createPromptTooLargeFailure = ({ kvTokens }: EngineSettings): Failure =>
  new Failure(
    'prompt_too_large',
    `the prompt is larger than the memory of an engine, which holds ${kvTokens} tokens; do not send it again`,
  );
