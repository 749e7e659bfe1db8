import fc from 'fast-check';
import test from 'ava';

import { ScalingReplay } from '../fixtures/scaling-replay.js';
import type { ReplayedOrder } from '../fixtures/scaling-replay.js';
import type { DutyResult } from '../duties/duty-client.js';

const seed = 4_711;
const runCount = 1_000;
const dataCenters = ['a', 'b', 'c'] as const;

/** What the platform holds to be ordered, from the orders that reach it. */
class PlatformState {
  readonly #desired = new Map<string, number>();

  constructor(onDemand: Readonly<Record<string, number>>) {
    for (const [name, count] of Object.entries(onDemand))
      this.#desired.set(`${name} false`, count);
  }

  apply({ dataCenter, isSpot, desired }: ReplayedOrder): void {
    this.#desired.set(`${dataCenter} ${isSpot}`, desired);
  }

  sum(dataCenter: string): number {
    return (
      (this.#desired.get(`${dataCenter} true`) ?? 0) +
      (this.#desired.get(`${dataCenter} false`) ?? 0)
    );
  }
}

const resultArbitrary: fc.Arbitrary<DutyResult | undefined> = fc.oneof(
  { weight: 6, arbitrary: fc.constant<DutyResult>('accepted') },
  { weight: 2, arbitrary: fc.constant<DutyResult>('unavailable') },
  { weight: 1, arbitrary: fc.constant<DutyResult>('rate_limited') },
  { weight: 1, arbitrary: fc.constant(undefined) },
);

const phaseArbitrary = fc.record({
  durationMs: fc.integer({ min: 500, max: 9_000 }),
  rates: fc.array(fc.nat(400), { minLength: 3, maxLength: 3 }),
  runningRequests: fc.nat(600),
  reclaimed: fc.option(fc.constantFrom(...dataCenters)),
  noticeMs: fc.constantFrom(0, 2_000),
});

const replayArbitrary = fc.record({
  min: fc.nat(4),
  room: fc.nat(10),
  startupMs: fc.constantFrom(500, 1_000, 4_000),
  spotPrice: fc.constantFrom(0.1, 0.22, 0.6, 1),
  start: fc.array(fc.nat(10), { minLength: 3, maxLength: 3 }),
  phases: fc.array(phaseArbitrary, { minLength: 3, maxLength: 6 }),
  results: fc.array(resultArbitrary, { minLength: 1, maxLength: 12 }),
});

test('no order leaves the bounds in 1,000 random loads with losses, refusals and lost answers', t => {
  let orderCount = 0;
  fc.assert(
    fc.property(replayArbitrary, input => {
      const { min, room, startupMs, spotPrice, start, phases, results } = input;
      const max = min + room;
      const onDemand = Object.fromEntries(
        dataCenters.map((name, i) => [
          name,
          Math.min(max, min + (start[i] ?? 0)),
        ]),
      );
      let phase = phases[0];
      let callCount = 0;
      const replay = new ScalingReplay({
        settings: {
          min,
          max,
          startupMs,
          spotPrice,
          prices: { a: 1, b: 1.2, c: 0.9 },
        },
        onDemand,
        getLoad: () => ({
          tokensPerMs: Object.fromEntries(
            dataCenters.map((name, i) => [name, phase?.rates[i] ?? 0]),
          ),
          runningRequests: phase?.runningRequests ?? 0,
        }),
        answer: () => results[callCount++ % results.length],
      });
      const platform = new PlatformState(onDemand);
      let endMs = 0;
      for (const each of phases) {
        phase = each;
        if (each.reclaimed !== null)
          replay.reclaim(each.reclaimed, each.noticeMs);
        endMs += each.durationMs;
        for (const order of replay.runUntil(endMs)) {
          orderCount += 1;
          if (order.result !== 'accepted') continue;
          platform.apply(order);
          const sum = platform.sum(order.dataCenter);
          if (sum > max || (order.desired < order.before && sum < min))
            throw new Error(`${sum} targets: ${JSON.stringify(order)}`);
        }
      }
    }),
    { seed, numRuns: runCount },
  );
  t.true(orderCount > runCount);
  t.log(`${orderCount} orders`);
});
