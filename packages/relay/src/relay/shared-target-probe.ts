/** Probes of targets; probes of one target at about the same time share a result. */
import { maxStandstillMs } from '../targets/target-probe.js';
import type { ProbeResult, TargetProbe } from '../targets/target-probe.js';
import type { TargetState } from '../targets/target-state.js';

import type { TargetClient } from './target-client.js';

/** Shortest time between two probes of a target. */
const minIntervalMs = 500;

/** The last probe of a target. */
interface LastProbe {
  readonly startedAtMs: number;
  readonly result: Promise<ProbeResult>;
  /** Monotonic milliseconds at which a probe last found the target silent. */
  silentAtMs: number;
}

/** Probes targets with a client. */
class SharedTargetProbe {
  readonly #lastProbes = new WeakMap<TargetState, LastProbe>();

  constructor(private readonly client: TargetClient) {}

  probe(target: TargetState): Promise<ProbeResult> {
    const nowMs = performance.now();
    const last = this.#lastProbes.get(target);
    if (last !== undefined && nowMs - last.startedAtMs < minIntervalMs)
      return last.result;
    if (!target.tryTakeProbePermit()) return Promise.resolve('unknown');
    const silentAtMs = last?.silentAtMs ?? -Infinity;
    const probe: LastProbe = {
      startedAtMs: nowMs,
      silentAtMs,
      result: this.client.probe(target.record).then(result => {
        const judged = judgeConnection(result, probe);
        if (judged === 'silent') probe.silentAtMs = performance.now();
        return judged;
      }),
    };
    this.#lastProbes.set(target, probe);
    return probe.result;
  }
}

/**
 * The connections that others open fill the backlog of a process that stands still, so that
 * no more are opened. A target that was silent a moment ago still stands still then.
 */
const judgeConnection = (
  result: ProbeResult,
  { silentAtMs, startedAtMs }: Omit<LastProbe, 'result'>,
): ProbeResult =>
  result === 'no_connection' && startedAtMs - silentAtMs < maxStandstillMs
    ? 'silent'
    : result;

/** Returns a probe that is made by the client. */
export const createTargetProbe = (client: TargetClient): TargetProbe => {
  const shared = new SharedTargetProbe(client);
  return target => shared.probe(target);
};
