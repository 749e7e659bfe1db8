/** Bytes that heartbeats cost an instance, by size of the deployment. */
import FakeTimers from '@sinonjs/fake-timers';
import { MemoryNetwork } from '@medlarlever/stand-ins';

import { createInstances } from '../membership/instances.js';

import type { Measurement } from './measurement.js';

const settleMs = 60_000;
const windowMs = 20_000;
const dataCenters = 5;
const budgetBytes = 9_000;

/** Bytes of message bodies that one instance sends a second. */
interface Traffic {
  readonly count: number;
  readonly idle: number;
  /** While every instance reports one new revision in the window. */
  readonly busy: number;
}

const measureTraffic = async (
  count: number,
  seed: number,
): Promise<Traffic> => {
  const clock = FakeTimers.install({ now: 1_000_000 });
  try {
    const network = new MemoryNetwork();
    const instances = createInstances({ count, dataCenters, network, seed });
    for (const { mesh } of instances) void mesh.maintainUntilStopped();
    await clock.tickAsync(settleMs);
    const idle = await window(clock, network, count);
    for (const { registry } of instances) registry.updateSelf({ revision: 1 });
    const busy = await window(clock, network, count);
    const stopped = Promise.all(instances.map(({ mesh }) => mesh.stop()));
    await clock.tickAsync(settleMs);
    await stopped;
    return { count, idle, busy };
  } finally {
    clock.uninstall();
  }
};

const window = async (
  clock: FakeTimers.Clock,
  network: MemoryNetwork,
  count: number,
): Promise<number> => {
  network.sentBytesByAddress.clear();
  await clock.tickAsync(windowMs);
  const total = [...network.sentBytesByAddress.values()].reduce(
    (a, b) => a + b,
    0,
  );
  return Math.round(total / count / (windowMs / 1_000));
};

const row = (name: string, value: number): Measurement => ({
  name,
  value,
  unit: 'bytes/s/instance',
  target: `<= ${budgetBytes}`,
  met: value <= budgetBytes,
});

/** Traffic at rising sizes, idle and with a change of configuration. */
export const measureMembership = async (
  seed: number,
): Promise<readonly Measurement[]> => {
  const rows: Measurement[] = [];
  for (const count of [8, 32, 96]) {
    const { idle, busy } = await measureTraffic(count, seed);
    rows.push(row(`heartbeats, ${count} instances, idle`, idle));
    rows.push(
      row(`heartbeats, ${count} instances, one revision in 20 s`, busy),
    );
  }
  return rows;
};
