/** Bytes that heartbeats cost an instance, by size of the deployment. */
import FakeTimers from '@sinonjs/fake-timers';
import { MemoryNetwork } from '@medlarlever/stand-ins';

import { createInstances } from '../membership/instances.js';

import type { Measurement } from './measurement.js';

const settlingMs = 60_000;
const sampleWindowMs = 20_000;
const dataCenterCount = 5;
const maxBytesPerSecond = 9_000;

/** Bytes of message bodies that one instance sends a second. */
interface HeartbeatTraffic {
  readonly instanceCount: number;
  readonly idleBytesPerSecond: number;
  /** While every instance reports one new revision in the window. */
  readonly busyBytesPerSecond: number;
}

const measureHeartbeatTraffic = async (
  count: number,
  seed: number,
): Promise<HeartbeatTraffic> => {
  const clock = FakeTimers.install({ now: 1_000_000 });
  try {
    const network = new MemoryNetwork();
    const instances = createInstances({
      instanceCount: count,
      dataCenterCount,
      network,
      seed,
    });
    for (const { mesh } of instances) void mesh.maintainUntilStopped();
    await clock.tickAsync(settlingMs);
    const idle = await measureBytesPerSecond(clock, network, count);
    for (const { registry } of instances) registry.updateSelf({ revision: 1 });
    const busy = await measureBytesPerSecond(clock, network, count);
    const stopped = Promise.all(instances.map(({ mesh }) => mesh.stop()));
    await clock.tickAsync(settlingMs);
    await stopped;
    return {
      instanceCount: count,
      idleBytesPerSecond: idle,
      busyBytesPerSecond: busy,
    };
  } finally {
    clock.uninstall();
  }
};

const measureBytesPerSecond = async (
  clock: FakeTimers.Clock,
  network: MemoryNetwork,
  count: number,
): Promise<number> => {
  network.sentBytesByAddress.clear();
  await clock.tickAsync(sampleWindowMs);
  const total = [...network.sentBytesByAddress.values()].reduce(
    (a, b) => a + b,
    0,
  );
  return Math.round(total / count / (sampleWindowMs / 1_000));
};

const createTrafficMeasurement = (
  name: string,
  value: number,
): Measurement => ({
  name,
  value,
  unit: 'bytes/s/instance',
  target: `<= ${maxBytesPerSecond}`,
  met: value <= maxBytesPerSecond,
});

/** Traffic at rising sizes, idle and with a change of configuration. */
export const measureMembership = async (
  seed: number,
): Promise<readonly Measurement[]> => {
  const rows: Measurement[] = [];
  for (const count of [8, 32, 96]) {
    const { idleBytesPerSecond: idle, busyBytesPerSecond: busy } =
      await measureHeartbeatTraffic(count, seed);
    rows.push(
      createTrafficMeasurement(`heartbeats, ${count} instances, idle`, idle),
    );
    rows.push(
      createTrafficMeasurement(
        `heartbeats, ${count} instances, one revision in 20 s`,
        busy,
      ),
    );
  }
  return rows;
};
