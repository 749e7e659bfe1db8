/**
 * Measures memory per customer and target, the time of role decisions and the
 * size of polled texts and peer messages, for docs/CAPACITY.md.
 */
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

/** Runs garbage collection and returns the used heap in bytes. */
const measureLiveHeapBytes = (): number => {
  setFlagsFromString('--expose-gc');
  const collectGarbage = runInNewContext('gc') as () => void;
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed;
};

const createHexDigest = (number: number) =>
  number.toString(16).padStart(64, '0');

/** Creates a template per model and distributes `count` customers over them. */
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

/**
 * Measures a parsed configuration. The memory per customer is the difference of
 * a full and a half configuration, which cancels the fixed part.
 */
const measureConfiguration = (): Measurement[] => {
  const text = JSON.stringify(createConfiguration(customerCount));
  const halfText = JSON.stringify(createConfiguration(customerCount / 2));
  const heapBeforeBytes = measureLiveHeapBytes();
  const halfConfiguration = configurationSchema.parse(JSON.parse(halfText));
  const heapBetweenBytes = measureLiveHeapBytes();
  const startMs = performance.now();
  const fullConfiguration: Configuration = configurationSchema.parse(
    JSON.parse(text),
  );
  const parseMs = performance.now() - startMs;
  const heapAfterBytes = measureLiveHeapBytes();
  const resolveStartMs = performance.now();
  for (let n = 0; n < customerCount; n += 1) {
    resolveEntitlement(fullConfiguration, `customer-${n}`);
  }
  const resolveMs = performance.now() - resolveStartMs;
  const bytesPerItem =
    (heapAfterBytes - heapBetweenBytes - (heapBetweenBytes - heapBeforeBytes)) /
    (customerCount / 2);
  return [
    createMeasurement('configuration: heap a customer', bytesPerItem, 'bytes'),
    createMeasurement(
      'configuration: heap of 3,200 customers',
      heapAfterBytes - heapBetweenBytes,
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
      countTemplates(halfConfiguration),
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

/** Creates load reports and prefix blocks of `count` engines. */
const createTargetState = (count: number) => {
  const loadEstimator = new LoadEstimator();
  const prefixIndex = new PrefixIndex();
  for (let n = 0; n < count; n += 1) {
    const name = `engine-${n}`;
    loadEstimator.recordReport(name, createLoadReport());
    const pieces = Array.from(
      { length: blocksPerEngine },
      (_, index) => `digest-${n}-${index}-padding`,
    );
    prefixIndex.applyEvents(name, [{ sequence: 1, kind: 'stored', pieces }]);
  }
  return { loadEstimator, prefixIndex };
};

/** Measures the memory per engine, with 64 cached prefix blocks each. */
const measureTargets = (): Measurement[] => {
  const heapBeforeBytes = measureLiveHeapBytes();
  const quarterState = createTargetState(engineCount / 4);
  const heapBetweenBytes = measureLiveHeapBytes();
  const fullState = createTargetState(engineCount);
  const heapAfterBytes = measureLiveHeapBytes();
  const bytesPerItem =
    (heapAfterBytes - heapBetweenBytes - (heapBetweenBytes - heapBeforeBytes)) /
    (engineCount - engineCount / 4);
  // Reads both states after the measurement, so that they stay reachable.
  const report =
    quarterState.loadEstimator.findRecentReport('engine-0') &&
    fullState.loadEstimator.findRecentReport('engine-0');
  return [
    createMeasurement(
      'target: heap a target with 64 prefix pieces',
      bytesPerItem,
      'bytes',
    ),
    createMeasurement(
      'target: heap of 600 targets',
      heapAfterBytes - heapBetweenBytes,
      'bytes',
    ),
    createMeasurement(
      'target: reports kept',
      report === undefined ? 0 : 1,
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

/** Returns the mean milliseconds of a role decision for `count` engines. */
const measureDecisionMs = (count: number, random: () => number): number => {
  const policy = new HorizonPolicy({
    engineSpeed: replayEngineSpeed,
    changeCost: 20,
  });
  const engines = Array.from({ length: count }, (_, n) => createEngineView(n));
  const createDemandView = (dataCenter: string): DemandView => ({
    dataCenter,
    prefillRate: (count / 5) * (3_000 + 1_000 * random()),
    decodeRate: (count / 5) * 200,
    requestRate: 220,
    ageMs: 1_000,
  });
  const decide = (index: number) =>
    policy.decideChanges({
      nowMs: index * 2_000,
      engines,
      demand: dataCenterNames.map(createDemandView),
    });
  for (let index = 0; index < 40; index += 1) decide(index);
  const startMs = performance.now();
  for (let index = 0; index < decisionCount; index += 1) decide(40 + index);
  return (performance.now() - startMs) / decisionCount;
};

const measureDecisions = (random: () => number): Measurement[] => {
  const rows = [60, 150, 600].map(
    count => [count, measureDecisionMs(count, random)] as const,
  );
  return rows.map(([count, decisionMs]) =>
    createMeasurement(`role decision: ${count} engines`, decisionMs, 'ms', 3),
  );
};

/** Measures the text size of a fleet list member and of an engine load report. */
const measurePollSizes = (): Measurement[] => {
  const members = Array.from({ length: engineCount }, (_, n) => ({
    name: `engine-${n}`,
    kind: 'engine' as const,
    dataCenter: dataCenterNames[n % dataCenterNames.length] ?? '',
    incarnation: `engine-${n}-4f1c2a9be07d`,
    address: '10.0.0.1:8000',
    state: 'live' as const,
  }));
  const listBytes = JSON.stringify(toTargetGroups(members)).length;
  const reportBytes = JSON.stringify(createLoadReport()).length;
  return [
    createMeasurement(
      'fleet list: text a member',
      listBytes / engineCount,
      'bytes',
    ),
    createMeasurement('engine: text of a load report', reportBytes, 'bytes'),
  ];
};

/** Runs all control measurements; the seed determines the demand. */
export const measureControlCapacity = async ({
  seed,
}: MeasurementOptions): Promise<readonly Measurement[]> => [
  ...measureConfiguration(),
  ...measureTargets(),
  ...measurePollSizes(),
  ...measureDecisions(createSeededRandom(seed)),
  ...(await measurePeerTraffic()),
];
