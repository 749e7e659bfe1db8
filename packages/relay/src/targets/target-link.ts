/**
 * Finds out whether this instance reaches any target. Failures of single targets are
 * theirs; failures of several at once may be those of the own link, which probes decide.
 */
import type { Log } from '@medlarlever/core';

import { runGuarded } from '../shared/guarded-step.js';

import { maxStandstillMs } from './target-probe.js';
import type { ProbeResult, TargetProbe } from './target-probe.js';
import type { TargetRecord } from './target-record.js';
import type { TargetRegistry } from './target-registry.js';
import type { TargetState } from './target-state.js';

/** Failures of this many targets within the window raise the doubt. */
const minFailedTargets = 2;
const failureWindowMs = 1_000;

/**
 * Silence of all targets that raises the doubt while requests are under way. Prompts of
 * usual size are read sooner.
 */
const doubtfulSilenceMs = 600;

/** Interval at which the evidence is judged. */
const judgementIntervalMs = 100;

/** Targets that are probed, one before the others; one that answers is enough. */
const probedTargetCount = 3;

/** Interval between probes while the link is in doubt, and while it is down. */
const doubtProbeIntervalMs = 1_000;
const downProbeIntervalMs = 500;

/** Dependencies of {@link TargetLink}. */
export interface TargetLinkOptions {
  readonly targets: TargetRegistry;
  readonly probe: TargetProbe;
  /** Called when the link is found to be down. */
  readonly onCut: () => void;
  readonly log: Log;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

/** State of the link from this instance to the targets. */
export class TargetLink {
  readonly #options: TargetLinkOptions;
  readonly #failedAtMsByTarget = new Map<string, number>();
  #isCutOff = false;
  #lastAnswerMs = performance.now();
  #busySinceMs: number | undefined;
  #lastProbeMs = -Infinity;
  #pendingProbe: Promise<void> | undefined;

  constructor(options: TargetLinkOptions) {
    this.#options = options;
  }

  /** True while this instance reaches no target. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Records that a target has answered. */
  recordAnswer(): void {
    this.#lastAnswerMs = performance.now();
  }

  /** Records that a connection to the target failed. */
  recordFailure({ id }: TargetRecord): void {
    this.#failedAtMsByTarget.set(id, performance.now());
    this.#startProbeIfDue();
  }

  /** Waits for the verdict if the link is in doubt. */
  async settle(): Promise<void> {
    this.#startProbeIfDue();
    await this.#pendingProbe;
  }

  /** Judges the link at intervals until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { activity } = this.#options.targets;
    while (!signal.aborted) {
      runGuarded(this.#options.log, 'judgement of the target link', () => {
        this.#startProbeIfDue();
      });
      // Without requests there is no evidence to judge until the next failure.
      const restMs = this.#isCutOff ? judgementIntervalMs : Infinity;
      await activity.pause({ activeMs: judgementIntervalMs, restMs }, signal);
    }
  }

  #startProbeIfDue(): void {
    const nowMs = performance.now();
    this.#updateBusySince(nowMs);
    if (this.#pendingProbe !== undefined) return;
    if (!this.#isCutOff && !this.#isDoubtful(nowMs)) return;
    const intervalMs = this.#isCutOff
      ? downProbeIntervalMs
      : doubtProbeIntervalMs;
    if (nowMs - this.#lastProbeMs < intervalMs) return;
    this.#lastProbeMs = nowMs;
    this.#pendingProbe = this.#probeTargets().finally(() => {
      this.#pendingProbe = undefined;
    });
  }

  /** Remembers since when requests of this instance are under way without a pause. */
  #updateBusySince(nowMs: number): void {
    const isBusy = this.#options.targets
      .listTargets()
      .some(({ localLoad }) => localLoad.activeRequestCount > 0);
    this.#busySinceMs = isBusy ? (this.#busySinceMs ?? nowMs) : undefined;
  }

  #isDoubtful(nowMs: number): boolean {
    for (const [id, failedAtMs] of this.#failedAtMsByTarget) {
      if (nowMs - failedAtMs > failureWindowMs)
        this.#failedAtMsByTarget.delete(id);
    }
    if (this.#failedAtMsByTarget.size >= minFailedTargets) return true;
    return this.#getSilentMs(nowMs) > doubtfulSilenceMs;
  }

  /** Time without an answer while requests are under way. */
  #getSilentMs(nowMs: number): number {
    return this.#busySinceMs === undefined
      ? 0
      : nowMs - Math.max(this.#busySinceMs, this.#lastAnswerMs);
  }

  async #probeTargets(): Promise<void> {
    const { targets, probe, random } = this.#options;
    const probed = selectProbedTargets(
      targets.listTargets(),
      id => this.#failedAtMsByTarget.has(id),
      random,
    );
    const [first, ...others] = probed;
    if (first === undefined) return;
    const firstResult = await probe(first);
    const results =
      firstResult === 'answers'
        ? [firstResult]
        : [firstResult, ...(await Promise.all(others.map(probe)))];
    const isReached = this.#judgeProbes(results);
    if (isReached === undefined) return;
    if (isReached) this.recordAnswer();
    this.#applyVerdict(
      isReached,
      probed.map(({ record }) => record.id),
    );
  }

  /**
   * Returns whether targets are reached; undefined if none was probed, or those that were
   * only stand still, which says nothing of the link for a while.
   */
  #judgeProbes(results: readonly ProbeResult[]): boolean | undefined {
    if (results.includes('answers')) return true;
    const known = results.filter(result => result !== 'unknown');
    if (known.length === 0) return undefined;
    const silentMs = this.#getSilentMs(performance.now());
    const mayStandStill =
      known.includes('silent') && silentMs < maxStandstillMs;
    return mayStandStill ? undefined : false;
  }

  #applyVerdict(isReached: boolean, probed: readonly string[]): void {
    const { log, onCut, targets } = this.#options;
    this.#failedAtMsByTarget.clear();
    if (this.#isCutOff !== isReached) return;
    this.#isCutOff = !isReached;
    targets.activity.wake();
    if (isReached) {
      // What failed meanwhile was the link, and not the targets.
      for (const state of targets.listTargets()) state.forgetFailures();
      log.writeEvent('target_link_up', { probed });
      return;
    }
    log.writeEvent('target_link_down', { probed });
    onCut();
  }
}

/**
 * Selects the targets to probe: first those that have not just failed, in as many data
 * centres as possible. Targets that want no requests are left alone.
 */
export const selectProbedTargets = (
  targets: readonly TargetState[],
  hasFailed: (id: string) => boolean,
  random: () => number,
): TargetState[] => {
  const candidates = targets
    .filter(({ isLeaving, acceptsRequests }) => !isLeaving && acceptsRequests)
    .map(state => ({ state, order: random() }))
    .sort(
      (a, b) =>
        Number(hasFailed(a.state.record.id)) -
          Number(hasFailed(b.state.record.id)) || a.order - b.order,
    )
    .map(({ state }) => state);
  const firstOfEach = candidates.filter(
    ({ record }, i) =>
      candidates.findIndex(
        other => other.record.dataCenter === record.dataCenter,
      ) === i,
  );
  return [...new Set([...firstOfEach, ...candidates])].slice(
    0,
    probedTargetCount,
  );
};
