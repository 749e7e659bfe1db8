/** Probes of targets; concurrent probes of one target share a result. */
import type { ProbeResult, TargetProbe } from '../targets/target-probe.js';
import type { TargetState } from '../targets/target-state.js';

import type { TargetClient } from './target-client.js';

/** Returns a probe that is made by the client. */
export const createTargetProbe = (client: TargetClient): TargetProbe => {
  const pendingProbes = new Map<string, Promise<ProbeResult>>();
  return (target: TargetState) => {
    const { record } = target;
    const pendingProbe = pendingProbes.get(record.id);
    if (pendingProbe !== undefined) return pendingProbe;
    // A target that wants no requests was alive when it said so.
    if (!target.tryTakeProbePermit()) return Promise.resolve('answers');
    const probe = client.probe(record).finally(() => {
      pendingProbes.delete(record.id);
    });
    pendingProbes.set(record.id, probe);
    return probe;
  };
};
