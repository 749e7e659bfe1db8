/** Slopes of control state, decisions and peer traffic for docs/CAPACITY.md. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import {
  HorizonPolicy,
  LoadEstimator,
  PrefixIndex,
  configurationSchema,
  resolveEntitlement,
  toTargetGroups,
} from '@medlarlever/core';
import type {
  Configuration,
  DemandView,
  EngineView,
  LoadReport,
} from '@medlarlever/core';

import { replayEngineSpeed } from '../replay/policies.js';
import { createSeededRandom } from '../shared/seeded-random.js';

import { createMeasurement } from './create-measurement.js';
import type { Measurement, MeasurementOptions } from './measurement.js';
import { measurePeerTraffic } from './peer-capacity.js';

const dataCenterNames = ['r1-a', 'r1-b', 'r1-c', 'r2-a', 'r2-b'];
const modelCount = 14;
const customerCount = 3_200;
const engineCount = 600;
const blocksPerEngine = 64;
const decisionCount = 200;

/** Bytes of live heap after a full collection. */
const measureLiveHeapBytes = (): number => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
};

const createHexDigest = (number: number) =>
  number.toString(16).padStart(64, '0');

/** Templates for each model with the customers spread over them. */
const createConfiguration = (count: number): unknown => {
  const templates: Record<string, unknown> = {};
  for (let model = 0; model < modelCount; model += 1) {
    const entries: [string, unknown][] = [];
    for (let n = model; n < count; n += modelCount) {
      const parameters = { adapter: `adapter-${n}` };
      entries.push([
        `customer-${n}`,
        { key_hashes: [createHexDigest(n)], parameters },
      ]);
    }
    templates[`template-${model}`] = {
      name: `template-${model}`,
      parameters: { adapter: { type: 'string', default: 'none' } },
      models: [{ alias: 'default', name: `model-${model}`, version: '1' }],
      customers: Object.fromEntries(entries),
    };
  }
  return { revision: 1, operationId: 'operation', templates };
};

const measureConfiguration = (): Measurement[] => {
  const text = JSON.stringify(createConfiguration(customerCount));
  const half = JSON.stringify(createConfiguration(customerCount / 2));
  const before = measureLiveHeapBytes();
  const smaller = configurationSchema.parse(JSON.parse(half));
  const between = measureLiveHeapBytes();
  const started = performance.now();
  const whole: Configuration = configurationSchema.parse(JSON.parse(text));
  const parseMs = performance.now() - started;
  const after = measureLiveHeapBytes();
  const resolveStarted = performance.now();
  for (let n = 0; n < customerCount; n += 1) {
    resolveEntitlement(whole, `customer-${n}`);
  }
  const resolveMs = performance.now() - resolveStarted;
  const slope = (after - between - (between - before)) / (customerCount / 2);
  return [
    createMeasurement('configuration: heap a customer', slope, 'bytes'),
    createMeasurement(
      'configuration: heap of 3,200 customers',
      after - between,
      'bytes',
    ),
    createMeasurement(
      'configuration: text of 3,200 customers',
      text.length,
      'bytes',
    ),
    createMeasurement('configuration: parse of 3,200 customers', parseMs, 'ms'),
    createMeasurement(
      'configuration: resolve one customer',
      resolveMs / customerCount,
      'ms',
      4,
    ),
    createMeasurement(
      'configuration: templates kept',
      countTemplates(smaller),
      'count',
    ),
  ];
};

const countTemplates = (configuration: Configuration) =>
  Object.keys(configuration.templates).length;

const createLoadReport = (): LoadReport => ({
  atMs: Date.now(),
  role: 'mixed',
  models: [{ name: 'model', version: '1' }],
  accepting: true,
  leaving: false,
  running: 20,
  queued: 2,
  prefillTokens: 4_000,
  cacheUse: 0.5,
  slots: 64,
});

const createTargetState = (count: number) => {
  const book = new LoadEstimator();
  const prefixes = new PrefixIndex();
  for (let n = 0; n < count; n += 1) {
    const name = `engine-${n}`;
    book.recordReport(name, createLoadReport());
    const pieces = Array.from(
      { length: blocksPerEngine },
      (_, piece) => `digest-${n}-${piece}-padding`,
    );
    prefixes.applyEvents(name, [{ sequence: 1, kind: 'stored', pieces }]);
  }
  return { book, prefixes };
};

const measureTargets = (): Measurement[] => {
  const before = measureLiveHeapBytes();
  const some = createTargetState(engineCount / 4);
  const between = measureLiveHeapBytes();
  const all = createTargetState(engineCount);
  const after = measureLiveHeapBytes();
  const slope =
    (after - between - (between - before)) / (engineCount - engineCount / 4);
  const known =
    some.book.findRecentReport('engine-0') &&
    all.book.findRecentReport('engine-0');
  return [
    createMeasurement(
      'target: heap a target with 64 prefix pieces',
      slope,
      'bytes',
    ),
    createMeasurement('target: heap of 600 targets', after - between, 'bytes'),
    createMeasurement(
      'target: reports kept',
      known === undefined ? 0 : 1,
      'count',
    ),
  ];
};

const createEngineView = (n: number): EngineView => ({
  name: `engine-${n}`,
  dataCenter: dataCenterNames[n % dataCenterNames.length] ?? '',
  role: n % 3 === 0 ? 'prefill' : 'mixed',
  available: true,
  ageMs: 1_000,
  prefillTokens: 2_000,
  running: 20,
  slots: 64,
  inRoleMs: 600_000,
});

const measureDecisionMs = (count: number, random: () => number): number => {
  const policy = new HorizonPolicy({
    engineSpeed: replayEngineSpeed,
    changeCost: 20,
  });
  const views = Array.from({ length: count }, (_, n) => createEngineView(n));
  const demandOf = (dataCenter: string): DemandView => ({
    dataCenter,
    prefillRate: (count / 5) * (3_000 + 1_000 * random()),
    decodeRate: (count / 5) * 200,
    requestRate: 220,
    ageMs: 1_000,
  });
  const decide = (second: number) =>
    policy.decideChanges({
      nowMs: second * 2_000,
      engines: views,
      demand: dataCenterNames.map(demandOf),
    });
  for (let second = 0; second < 40; second += 1) decide(second);
  const started = performance.now();
  for (let run = 0; run < decisionCount; run += 1) decide(40 + run);
  return (performance.now() - started) / decisionCount;
};

const measureDecisions = (random: () => number): Measurement[] => {
  const rows = [60, 150, 600].map(
    count => [count, measureDecisionMs(count, random)] as const,
  );
  return rows.map(([count, ms]) =>
    createMeasurement(`role decision: ${count} engines`, ms, 'ms', 3),
  );
};

/** Text that each poll of the fleet list and of an engine brings. */
const measurePollSizes = (): Measurement[] => {
  const members = Array.from({ length: engineCount }, (_, n) => ({
    name: `engine-${n}`,
    kind: 'engine' as const,
    dataCenter: dataCenterNames[n % dataCenterNames.length] ?? '',
    incarnation: `engine-${n}-4f1c2a9be07d`,
    address: '10.0.0.1:8000',
    state: 'live' as const,
  }));
  const list = JSON.stringify(toTargetGroups(members)).length;
  const report = JSON.stringify(createLoadReport()).length;
  return [
    createMeasurement('fleet list: text a member', list / engineCount, 'bytes'),
    createMeasurement('engine: text of a load report', report, 'bytes'),
  ];
};

/** Every slope of the control parts. */
export const measureControlCapacity = async ({
  seed,
}: MeasurementOptions): Promise<readonly Measurement[]> => [
  ...measureConfiguration(),
  ...measureTargets(),
  ...measurePollSizes(),
  ...measureDecisions(createSeededRandom(seed)),
  ...(await measurePeerTraffic()),
];
