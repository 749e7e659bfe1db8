/** Runs a request at a plain service, again at another target if allowed. */
import { Failure } from '@medlarlever/core';

import { placeCall } from '../placement/placement.js';
import type { TargetState } from '../targets/target-state.js';

import { HeldSink, StreamSink } from './response-sinks.js';
import {
  RequestRun,
  firstServerError,
  noTargetRetryMs,
} from './request-runner.js';
import { SendWatch } from './send-watchdog.js';
import { noteSuccess } from './target-outcomes.js';

/** Time of a call that is used to judge the speed of a target. */
const expectedCallMs = 60;

/** Requests beyond its slots that a target is given to wait. */
const waitingPerSlot = 2;

/**
 * Part of the time left after which a call that may be repeated is given up:
 * its answer may be lost, and another target needs time as well.
 */
const patienceShare = 0.4;

export class CallRun extends RequestRun {
  override async run(): Promise<void> {
    const { journey } = this;
    for (;;) {
      if (journey.signal.aborted) {
        this.giveUp(journey.expired());
        return;
      }
      const target = this.#place();
      if (target === undefined) {
        this.giveUp(this.#noTarget());
        return;
      }
      if (await this.#tryAt(target)) return;
    }
  }

  protected override mayRunAgain(): boolean {
    const { route, service } = this.journey;
    return (
      route.kind === 'idempotent' &&
      this.runs + 1 < route.maxAttempts &&
      this.service.retries.left >= 1 &&
      this.parts.targets.open(service).length > this.excluded.size + 1
    );
  }

  #place(): TargetState | undefined {
    const { targets, dataCenter, reach } = this.parts;
    const open = targets
      .open(this.journey.service)
      .filter(
        state => state.running < state.record.slots * (1 + waitingPerSlot),
      );
    return placeCall({
      targets: open,
      excluded: this.excluded,
      unreached: reach.avoided(),
      dataCenter,
    });
  }

  #noTarget(): Failure {
    return new Failure('no_target', 'no target can take the request now', {
      executed: this.journey.mayHaveRun ? 'unknown' : 'no',
      retryAfterMs: noTargetRetryMs,
    });
  }

  /** True when the request has come to its end. */
  async #tryAt(target: TargetState): Promise<boolean> {
    const { journey, parts } = this;
    const leave = target.enter();
    const startMs = performance.now();
    const sink = this.#sink();
    journey.sent();
    const watch = this.#watch(target);
    const outcome = await parts.client.send(
      target.record,
      journey.request,
      {
        leftMs: journey.leftMs,
        signal: watch?.signal ?? journey.signal,
      },
      sink,
    );
    watch?.end();
    leave();
    parts.metrics.sent(journey.service, outcome.kind);
    if (outcome.kind === 'whole') {
      noteSuccess(parts, target);
      target.took(performance.now() - startMs, expectedCallMs);
      sink.finish();
      journey.answered(outcome.status, target.record.id);
      return true;
    }
    journey.tell('attempt_failed', {
      target: target.record.id,
      attempt: journey.sends,
      ...outcome,
    });
    if (journey.caller.begun) {
      journey.mayHaveRun = true;
      this.giveUp(
        new Failure('target_failed', 'the answer broke off', {
          executed: 'unknown',
        }),
      );
      return true;
    }
    return this.afterFailure(target, outcome);
  }

  #watch(target: TargetState): SendWatch | undefined {
    if (!this.mayRunAgain()) return undefined;
    const { leftMs, signal } = this.journey;
    return new SendWatch({
      target,
      // Plain services are not asked whether they answer.
      expectedMs: Infinity,
      stalledMs: patienceShare * leftMs,
      signal,
      answers: this.parts.answers,
    });
  }

  #sink(): HeldSink | StreamSink {
    const { caller, route } = this.journey;
    const accept = (status: number) =>
      status < firstServerError || !this.mayRunAgain();
    if (route.kind !== 'stream') return new HeldSink(caller, accept);
    const onBytes = () => {
      this.journey.firstBytes();
    };
    return new StreamSink(caller, accept, onBytes, false);
  }
}
