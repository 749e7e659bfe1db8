/** Runs a generation: prompt read apart or in place, stream passed on. */
import { Failure } from '@medlarlever/core';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { EventGapMeter } from '../placement/event-gaps.js';
import { kvTransferMs } from '../placement/placement.js';
import type { Placement } from '../placement/placement.js';
import { prefillOverheadMs } from '../placement/prefill-speed.js';
import type { Prompt } from '../requests/relay-request.js';
import type { EngineSettings } from '../routes/route-configuration.js';
import type { TargetState } from '../targets/target-state.js';

import { StreamingResponseSink } from './response-sinks.js';
import { GenerationPlacer } from './generation-placer.js';
import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay.js';
import {
  RequestRunner,
  minServerErrorStatus,
  isConnectFailure,
} from './request-runner.js';
import { SendWatchdog } from './send-watchdog.js';
import { recordTargetFailure, recordTargetSuccess } from './target-outcomes.js';
import type {
  KvCacheHandle,
  PrefillOutcome,
  SendOutcome,
} from './target-client.js';

/**
 * Silence of a stream that may be resumed after which it goes on elsewhere:
 * several times the longest gap that callers bear without complaint.
 */
const minStreamStallTimeoutMs = 1_600;

/** Silence of a prefill after which its connection is taken to be silent. */
const minPrefillStallTimeoutMs = 2_500;

/** Times its expected duration that a send is waited for at least. */
const stallTimeoutFactor = 4;

/** Urgency of rank 0; engines take levels from 0 to 9. */
const baseUrgency = 3;
const maxUrgency = 9;

type FailedPrefillOutcome = Exclude<PrefillOutcome, { kind: 'read' }>;

export class GenerationRunner extends RequestRunner {
  readonly #responseSink: StreamingResponseSink;
  readonly #placer: GenerationPlacer;
  #kvCacheHandle: KvCacheHandle | undefined;
  #prefillCount = 0;
  /** Called with each event: the first one tells that the prompt is read. */
  #onEvent: () => void = () => undefined;

  constructor(
    parts: RelayDependencies,
    journey: RequestContext,
    private readonly prompt: Prompt,
    engine: EngineSettings,
  ) {
    super(parts, journey);
    const { excludedTargets: excluded } = this;
    this.#placer = new GenerationPlacer({
      dependencies: parts,
      context: journey,
      prompt,
      engineSettings: engine,
      excludedTargets: excluded,
    });
    const { route, caller } = journey;
    const onBytes = () => {
      journey.recordFirstBytes();
      this.#onEvent();
    };
    const accept = (status: number) =>
      caller.hasStarted
        ? status === 200
        : status < minServerErrorStatus || !this.canRetry();
    this.#responseSink = new StreamingResponseSink(
      caller,
      accept,
      onBytes,
      route.resumable,
    );
  }

  override async run(): Promise<void> {
    const { context: journey } = this;
    let first = true;
    for (;;) {
      if (journey.signal.aborted) {
        this.failRequest(journey.createDeadlineFailure());
        return;
      }
      const placed = first
        ? this.#placer.placeWithAdmission()
        : this.#placer.placeRetry();
      const placement = placed.extract();
      if (placement instanceof Failure) {
        this.failRequest(placement);
        return;
      }
      first = false;
      const { prefillTarget: prefill } = placement;
      if (prefill !== undefined && this.#kvCacheHandle === undefined) {
        const read = await this.#runPrefill(prefill, placement);
        if (read === 'ended') return;
        if (read === 'again') continue;
      }
      const ready = this.#updateDecodeTarget(placement).extract();
      if (ready instanceof Failure) {
        this.failRequest(ready);
        return;
      }
      if (await this.#sendToTarget(ready)) return;
    }
  }

  protected override canRetry(): boolean {
    const { route } = this.context;
    return (
      route.resumable && this.possibleExecutionCount + 1 < route.maxAttempts
    );
  }

  protected override failRequest(failure: Failure): void {
    this.#releaseKvCache();
    super.failRequest(failure);
  }

  /** Reading took its time: the engine chosen before may be leaving or full. */
  #updateDecodeTarget(placement: Placement): Either<Failure, Placement> {
    if (this.#kvCacheHandle === undefined) return Right(placement);
    return this.#placer
      .chooseDecodeTarget()
      .map(decode => ({ ...placement, decodeTarget: decode }));
  }

  #releaseKvCache(): void {
    if (this.#kvCacheHandle !== undefined)
      this.dependencies.targetClient.releaseKvCache(this.#kvCacheHandle);
    this.#kvCacheHandle = undefined;
  }

  /** Ranks become urgency levels; the engines admit by them. */
  get #urgency(): number {
    return Math.min(maxUrgency, this.context.route.rank + baseUrgency);
  }

  /** Counts the prompt as being read there; the result counts it as read. */
  #startPrefill(
    target: TargetState,
    tokens: number,
    expectedMs: number,
  ): () => void {
    const { segments: parts } = this.prompt;
    this.serviceState.assignedPrefillTokens += tokens;
    this.dependencies.onPrefillStart(target.record.id, parts, expectedMs);
    return target.startPrefill(parts, tokens, expectedMs);
  }

  /** Has the prompt read at a prefill engine. */
  async #runPrefill(
    target: TargetState,
    {
      prefillTokens: tokens,
      findCopySource: copyFrom,
      expectedFirstEventMs: firstEventMs,
    }: Placement,
  ): Promise<'read' | 'again' | 'ended'> {
    const { context: journey, dependencies: parts } = this;
    const queued = target.pendingPrefillTokens + tokens;
    const done = this.#startPrefill(target, tokens, firstEventMs);
    const leave = target.startRequest();
    const startMs = performance.now();
    const watch = new SendWatchdog({
      target,
      expectedResponseMs: firstEventMs,
      stallTimeoutMs: Math.max(
        minPrefillStallTimeoutMs,
        stallTimeoutFactor * firstEventMs,
      ),
      signal: journey.signal,
      checkLiveness: parts.checkLiveness,
    });
    const outcome = await parts.targetClient.prefill(
      target.record,
      journey.request,
      {
        remainingMs: journey.remainingMs,
        urgency: this.#urgency,
        copySourceAddress: copyFrom?.record.address,
        signal: watch.signal,
      },
    );
    watch.stop();
    done();
    leave();
    const tookMs = performance.now() - startMs;
    journey.addLogFields({ read_ms: Math.round(tookMs) });
    parts.metrics.recordSend(journey.service, `prefill_${outcome.kind}`);
    if (outcome.kind !== 'read') {
      return this.#handlePrefillFailure(target, outcome, tookMs);
    }
    this.#recordPrefillSuccess(target, queued, tookMs);
    this.#kvCacheHandle = outcome.handover;
    return 'read';
  }

  #recordPrefillSuccess(
    target: TargetState,
    queued: number,
    tookMs: number,
  ): void {
    const { prefillSpeed: speed, retryBudget: retries } = this.serviceState;
    this.dependencies.metrics.recordPrefill(this.context.service, tookMs);
    speed.addSample(queued, tookMs);
    recordTargetSuccess(this.dependencies, target);
    target.prefixCache.addSegments(this.prompt.segments);
    target.recordDuration(
      tookMs,
      speed.estimatePrefillMs(queued) + prefillOverheadMs,
    );
    // Only the first prefill of a request is not a retry.
    if (this.#prefillCount > 0) retries.recordRetry();
    this.#prefillCount += 1;
  }

  #handlePrefillFailure(
    target: TargetState,
    outcome: FailedPrefillOutcome,
    tookMs: number,
  ): 'again' | 'ended' {
    const { context: journey } = this;
    journey.logEvent('attempt_failed', {
      target: target.record.id,
      step: 'prefill',
      took_ms: Math.round(tookMs),
      ...outcome,
    });
    if (journey.signal.aborted) {
      this.failRequest(journey.createDeadlineFailure());
      return 'ended';
    }
    recordTargetFailure(this.dependencies, journey, target, outcome);
    this.excludedTargets.add(target);
    return this.retryOrFail(outcome) ? 'again' : 'ended';
  }

  /** True when the request has come to its end. */
  async #sendToTarget(placement: Placement): Promise<boolean> {
    const { context: journey, dependencies: parts } = this;
    const target = placement.decodeTarget;
    const handover = this.#kvCacheHandle;
    const inPlace = handover === undefined;
    const leave = target.startRequest();
    const read = inPlace
      ? this.#startPrefill(
          target,
          placement.prefillTokens,
          placement.expectedFirstEventMs,
        )
      : this.#startPrefill(target, 0, kvTransferMs);
    const watch = this.#createSendWatchdog(
      target,
      placement.expectedFirstEventMs,
    );
    const times = new EventGapMeter();
    this.#onEvent = () => {
      times.recordEvent();
      read();
      target.recordActivity();
      watch?.recordActivity();
    };
    journey.recordSend();
    const outcome = await parts.targetClient.send(
      target.record,
      journey.request,
      {
        remainingMs: journey.remainingMs,
        urgency: this.#urgency,
        kvCacheHandle: handover,
        copySourceAddress: inPlace
          ? placement.findCopySource?.record.address
          : undefined,
        resumeAfterEventId: this.#responseSink.lastEventId,
        signal: watch?.signal ?? journey.signal,
      },
      this.#responseSink,
    );
    watch?.stop();
    read();
    leave();
    this.#recordEventGap(target, times);
    parts.metrics.recordSend(journey.service, outcome.kind);
    if (outcome.kind === 'whole') {
      recordTargetSuccess(parts, target);
      this.#responseSink.finish();
      journey.completeRequest(outcome.status, target.record.id);
      return true;
    }
    return this.#handleStreamFailure(target, outcome);
  }

  #recordEventGap(
    target: TargetState,
    { meanGapMs: gapMs }: EventGapMeter,
  ): void {
    if (gapMs === undefined) return;
    this.dependencies.metrics.recordEventGap(this.context.service, gapMs);
    target.recordDuration(
      gapMs,
      this.serviceState.eventGapAverage.addSample(gapMs),
    );
  }

  #createSendWatchdog(
    target: TargetState,
    expectedMs: number,
  ): SendWatchdog | undefined {
    if (!this.canRetry()) return undefined;
    const stalledMs = Math.max(
      minStreamStallTimeoutMs,
      stallTimeoutFactor * expectedMs,
    );
    const { signal } = this.context;
    const { checkLiveness: answers } = this.dependencies;
    return new SendWatchdog({
      target,
      expectedResponseMs: expectedMs,
      stallTimeoutMs: stalledMs,
      signal,
      checkLiveness: answers,
    });
  }

  #handleStreamFailure(
    target: TargetState,
    outcome: Exclude<SendOutcome, { kind: 'whole' }>,
  ): boolean {
    const { context: journey } = this;
    journey.logEvent('attempt_failed', {
      target: target.record.id,
      attempt: journey.sendCount,
      events: this.#responseSink.eventCount,
      handover: this.#kvCacheHandle?.address,
      ...outcome,
    });
    // A refused hand-over is tried at one more engine, as the first may only
    // have been full; after that the memory is taken to be gone.
    const kept =
      isConnectFailure(outcome) ||
      (outcome.kind === 'not_executed' && journey.sendCount === 1);
    if (!kept) this.#releaseKvCache();
    return this.handleSendFailure(target, outcome);
  }
}
