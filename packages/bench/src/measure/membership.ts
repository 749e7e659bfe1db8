/** Measures the heartbeat bytes that an instance sends, by deployment size. */
import FakeTimers from '@sinonjs/fake-timers';
import { MemoryNetwork } from '@medlarlever/stand-ins';

import { createInstances } from '../membership/instances.js';

import type { Measurement } from './measurement.js';

/** Simulated time for instances to join or to stop. */
const settlingMs = 60_000;
const sampleWindowMs = 20_000;
const dataCenterCount = 5;
const maxBytesPerSecond = 9_000;

/** Bytes of message bodies that one instance sends per second, on average. */
interface HeartbeatTraffic {
  readonly instanceCount: number;
  readonly idleBytesPerSecond: number;
  /**
   * Bytes per second in a window in which every instance reports one new
   * revision.
   */
  readonly busyBytesPerSecond: number;
}

const measureHeartbeatTraffic = async (
  instanceCount: number,
  seed: number,
): Promise<HeartbeatTraffic> => {
  const clock = FakeTimers.install({ now: 1_000_000 });
  try {
    const network = new MemoryNetwork();
    const instances = createInstances({
      instanceCount,
      dataCenterCount,
      network,
      seed,
    });
    for (const { mesh } of instances) void mesh.maintainUntilStopped();
    await clock.tickAsync(settlingMs);
    const idleBytesPerSecond = await measureBytesPerSecond(
      clock,
      network,
      instanceCount,
    );
    for (const { registry } of instances) registry.updateSelf({ revision: 1 });
    const busyBytesPerSecond = await measureBytesPerSecond(
      clock,
      network,
      instanceCount,
    );
    const allStopped = Promise.all(instances.map(({ mesh }) => mesh.stop()));
    await clock.tickAsync(settlingMs);
    await allStopped;
    return {
      instanceCount,
      idleBytesPerSecond,
      busyBytesPerSecond,
    };
  } finally {
    clock.uninstall();
  }
};

const measureBytesPerSecond = async (
  clock: FakeTimers.Clock,
  network: MemoryNetwork,
  instanceCount: number,
): Promise<number> => {
  network.sentBytesByAddress.clear();
  await clock.tickAsync(sampleWindowMs);
  const totalBytes = [...network.sentBytesByAddress.values()].reduce(
    (a, b) => a + b,
    0,
  );
  return Math.round(totalBytes / instanceCount / (sampleWindowMs / 1_000));
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

/**
 * Measures heartbeat traffic for 8, 32 and 96 instances, idle and with a new
 * configuration revision.
 */
export const measureMembership = async (
  seed: number,
): Promise<readonly Measurement[]> => {
  const measurements: Measurement[] = [];
  for (const instanceCount of [8, 32, 96]) {
    const { idleBytesPerSecond, busyBytesPerSecond } =
      await measureHeartbeatTraffic(instanceCount, seed);
    measurements.push(
      createTrafficMeasurement(
        `heartbeats, ${instanceCount} instances, idle`,
        idleBytesPerSecond,
      ),
    );
    measurements.push(
      createTrafficMeasurement(
        `heartbeats, ${instanceCount} instances, one revision in 20 s`,
        busyBytesPerSecond,
      ),
    );
  }
  return measurements;
};
