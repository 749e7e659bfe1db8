/** Runs a generation: prompt read apart or in place, stream passed on. */
import { Failure } from '@medlarlever/core';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { EventTimes } from '../placement/event-gaps.js';
import { handoverMs } from '../placement/placement.js';
import type { Placement } from '../placement/placement.js';
import { readingOverheadMs } from '../placement/prefill-speed.js';
import type { Prompt } from '../requests/relay-request.js';
import type { EngineSettings } from '../routes/route-configuration.js';
import type { TargetState } from '../targets/target-state.js';

import { StreamSink } from './response-sinks.js';
import { GenerationPlaces } from './generation-placer.js';
import type { Journey } from './request-context.js';
import type { RelayParts } from './relay.js';
import { RequestRun, firstServerError, neverSent } from './request-runner.js';
import { SendWatch } from './send-watchdog.js';
import { noteFailure, noteSuccess } from './target-outcomes.js';
import type { Handover, PrefillOutcome, SendOutcome } from './target-client.js';

/**
 * Silence of a stream that may be resumed after which it goes on elsewhere:
 * several times the longest gap that callers bear without complaint.
 */
const stalledStreamMs = 1_600;

/** Silence of a prefill after which its connection is taken to be silent. */
const stalledPrefillMs = 2_500;

/** Times its expected duration that a send is waited for at least. */
const stalledFactor = 4;

/** Urgency of rank 0; engines take levels from 0 to 9. */
const firstUrgency = 3;
const lastUrgency = 9;

type FailedPrefill = Exclude<PrefillOutcome, { kind: 'read' }>;

export class GenerationRun extends RequestRun {
  readonly #sink: StreamSink;
  readonly #places: GenerationPlaces;
  #handover: Handover | undefined;
  #prefills = 0;
  /** Called with each event: the first one tells that the prompt is read. */
  #onEvent: () => void = () => undefined;

  constructor(
    parts: RelayParts,
    journey: Journey,
    private readonly prompt: Prompt,
    engine: EngineSettings,
  ) {
    super(parts, journey);
    const { excluded } = this;
    this.#places = new GenerationPlaces({
      parts,
      journey,
      prompt,
      engine,
      excluded,
    });
    const { route, caller } = journey;
    const onBytes = () => {
      journey.firstBytes();
      this.#onEvent();
    };
    const accept = (status: number) =>
      caller.begun
        ? status === 200
        : status < firstServerError || !this.mayRunAgain();
    this.#sink = new StreamSink(caller, accept, onBytes, route.resumable);
  }

  override async run(): Promise<void> {
    const { journey } = this;
    let first = true;
    for (;;) {
      if (journey.signal.aborted) {
        this.giveUp(journey.expired());
        return;
      }
      const placed = first ? this.#places.first() : this.#places.next();
      const placement = placed.extract();
      if (placement instanceof Failure) {
        this.giveUp(placement);
        return;
      }
      first = false;
      const { prefill } = placement;
      if (prefill !== undefined && this.#handover === undefined) {
        const read = await this.#read(prefill, placement);
        if (read === 'ended') return;
        if (read === 'again') continue;
      }
      const ready = this.#withDecoder(placement).extract();
      if (ready instanceof Failure) {
        this.giveUp(ready);
        return;
      }
      if (await this.#tryAt(ready)) return;
    }
  }

  protected override mayRunAgain(): boolean {
    const { route } = this.journey;
    return route.resumable && this.runs + 1 < route.maxAttempts;
  }

  protected override giveUp(failure: Failure): void {
    this.#dropHandover();
    super.giveUp(failure);
  }

  /** Reading took its time: the engine chosen before may be leaving or full. */
  #withDecoder(placement: Placement): Either<Failure, Placement> {
    if (this.#handover === undefined) return Right(placement);
    return this.#places.decoder().map(decode => ({ ...placement, decode }));
  }

  #dropHandover(): void {
    if (this.#handover !== undefined) this.parts.client.free(this.#handover);
    this.#handover = undefined;
  }

  /** Ranks become urgency levels; the engines admit by them. */
  get #urgency(): number {
    return Math.min(lastUrgency, this.journey.route.rank + firstUrgency);
  }

  /** Counts the prompt as being read there; the result counts it as read. */
  #startReading(
    target: TargetState,
    tokens: number,
    expectedMs: number,
  ): () => void {
    const { parts } = this.prompt;
    this.service.tokensPlaced += tokens;
    this.parts.onReading(target.record.id, parts, expectedMs);
    return target.startReading(parts, tokens, expectedMs);
  }

  /** Has the prompt read at a prefill engine. */
  async #read(
    target: TargetState,
    { tokens, copyFrom, firstEventMs }: Placement,
  ): Promise<'read' | 'again' | 'ended'> {
    const { journey, parts } = this;
    const queued = target.unreadTokens + tokens;
    const done = this.#startReading(target, tokens, firstEventMs);
    const leave = target.enter();
    const startMs = performance.now();
    const watch = new SendWatch({
      target,
      expectedMs: firstEventMs,
      stalledMs: Math.max(stalledPrefillMs, stalledFactor * firstEventMs),
      signal: journey.signal,
      answers: parts.answers,
    });
    const outcome = await parts.client.prefill(target.record, journey.request, {
      leftMs: journey.leftMs,
      urgency: this.#urgency,
      copyFrom: copyFrom?.record.address,
      signal: watch.signal,
    });
    watch.end();
    done();
    leave();
    const tookMs = performance.now() - startMs;
    journey.note({ read_ms: Math.round(tookMs) });
    parts.metrics.sent(journey.service, `prefill_${outcome.kind}`);
    if (outcome.kind !== 'read') {
      return this.#readFailed(target, outcome, tookMs);
    }
    this.#noteRead(target, queued, tookMs);
    this.#handover = outcome.handover;
    return 'read';
  }

  #noteRead(target: TargetState, queued: number, tookMs: number): void {
    const { speed, retries } = this.service;
    this.parts.metrics.read(this.journey.service, tookMs);
    speed.sample(queued, tookMs);
    noteSuccess(this.parts, target);
    target.cache.add(this.prompt.parts);
    target.took(tookMs, speed.readingMs(queued) + readingOverheadMs);
    // Only the first prefill of a request is not a retry.
    if (this.#prefills > 0) retries.spend();
    this.#prefills += 1;
  }

  #readFailed(
    target: TargetState,
    outcome: FailedPrefill,
    tookMs: number,
  ): 'again' | 'ended' {
    const { journey } = this;
    journey.tell('attempt_failed', {
      target: target.record.id,
      step: 'prefill',
      took_ms: Math.round(tookMs),
      ...outcome,
    });
    if (journey.signal.aborted) {
      this.giveUp(journey.expired());
      return 'ended';
    }
    noteFailure(this.parts, journey, target, outcome);
    this.excluded.add(target);
    return this.takeRetry(outcome) ? 'again' : 'ended';
  }

  /** True when the request has come to its end. */
  async #tryAt(placement: Placement): Promise<boolean> {
    const { journey, parts } = this;
    const target = placement.decode;
    const handover = this.#handover;
    const inPlace = handover === undefined;
    const leave = target.enter();
    const read = inPlace
      ? this.#startReading(target, placement.tokens, placement.firstEventMs)
      : this.#startReading(target, 0, handoverMs);
    const watch = this.#watch(target, placement.firstEventMs);
    const times = new EventTimes();
    this.#onEvent = () => {
      times.noted();
      read();
      target.heard();
      watch?.heard();
    };
    journey.sent();
    const outcome = await parts.client.send(
      target.record,
      journey.request,
      {
        leftMs: journey.leftMs,
        urgency: this.#urgency,
        handover,
        copyFrom: inPlace ? placement.copyFrom?.record.address : undefined,
        resumeAfter: this.#sink.lastId,
        signal: watch?.signal ?? journey.signal,
      },
      this.#sink,
    );
    watch?.end();
    read();
    leave();
    this.#notePace(target, times);
    parts.metrics.sent(journey.service, outcome.kind);
    if (outcome.kind === 'whole') {
      noteSuccess(parts, target);
      this.#sink.finish();
      journey.answered(outcome.status, target.record.id);
      return true;
    }
    return this.#sendFailed(target, outcome);
  }

  #notePace(target: TargetState, { gapMs }: EventTimes): void {
    if (gapMs === undefined) return;
    this.parts.metrics.paced(this.journey.service, gapMs);
    target.took(gapMs, this.service.pace.sample(gapMs));
  }

  #watch(target: TargetState, expectedMs: number): SendWatch | undefined {
    if (!this.mayRunAgain()) return undefined;
    const stalledMs = Math.max(stalledStreamMs, stalledFactor * expectedMs);
    const { signal } = this.journey;
    const { answers } = this.parts;
    return new SendWatch({ target, expectedMs, stalledMs, signal, answers });
  }

  #sendFailed(
    target: TargetState,
    outcome: Exclude<SendOutcome, { kind: 'whole' }>,
  ): boolean {
    const { journey } = this;
    journey.tell('attempt_failed', {
      target: target.record.id,
      attempt: journey.sends,
      events: this.#sink.events,
      handover: this.#handover?.address,
      ...outcome,
    });
    // A refused hand-over is tried at one more engine, as the first may only
    // have been full; after that the memory is taken to be gone.
    const kept =
      neverSent(outcome) ||
      (outcome.kind === 'not_executed' && journey.sends === 1);
    if (!kept) this.#dropHandover();
    return this.afterFailure(target, outcome);
  }
}
