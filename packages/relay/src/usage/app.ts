/** Plugin that counts usage and reports it, as a duty of the leader. */
import type { Kernel, Plugin } from '@medlarlever/core';

import { listLeaseCandidates } from '../duties/lease-candidates.js';
import { startOrder } from '../kernel/start-order.js';
import {
  dutyClientToken,
  dutyLeaderToken,
  instanceRegistryToken,
  logToken,
  metricsRegistryToken,
  peerMeshToken,
  peerTopologyToken,
  randomToken,
  settingsToken,
  tableToken,
  usageToken,
} from '../kernel/tokens.js';

import { TrueTime } from './true-time.js';
import { UsageCounter } from './usage-counter.js';
import { UsageExchange } from './usage-exchange.js';
import { UsageMetrics } from './usage-metrics.js';
import type { UsageParts } from './usage-parts.js';
import { UsageReporter } from './usage-reporter.js';
import { UsageTotals } from './usage-totals.js';
import { countKeptWindows } from './usage-windows.js';
import type { UsageTiming } from './usage-windows.js';

const isCandidate = (kernel: Kernel): boolean => {
  const registry = kernel.get(instanceRegistryToken);
  return listLeaseCandidates(registry).includes(registry.self.name);
};

const createExchange = (
  kernel: Kernel,
  parts: {
    readonly counter: UsageCounter;
    readonly totals: UsageTotals;
    readonly time: TrueTime;
    readonly timing: UsageTiming;
  },
): UsageExchange => {
  const registry = kernel.get(instanceRegistryToken);
  const topology = kernel.get(peerTopologyToken);
  const { counter, totals, time, timing } = parts;
  return new UsageExchange({
    self: registry.self.name,
    incarnation: registry.self.incarnation,
    counter,
    totals,
    time,
    random: kernel.get(randomToken),
    windowMs: timing.windowMs,
    keptWindows: countKeptWindows(timing),
    listCandidates: () => listLeaseCandidates(registry),
    findPeer: name => kernel.get(peerMeshToken).getPeer(name).extract(),
    listLiveIncarnations: () =>
      new Set(
        registry
          .listInstances()
          .filter(({ state }) => state !== 'suspected')
          .map(({ incarnation }) => incarnation),
      ),
    notifyAll: (method, params) => {
      topology.notifyAll(method, params);
    },
    isLargeDeployment: () => topology.usesAggregators,
  });
};

/** Returns undefined unless the settings ask for usage reports. */
const createUsageParts = (kernel: Kernel): UsageParts | undefined => {
  const { usage: timing, duties } = kernel.get(settingsToken).current;
  if (timing === undefined || duties?.reportsUsage !== true) return undefined;
  const time = new TrueTime();
  const counter = new UsageCounter({ time, windowMs: timing.windowMs });
  const totals = new UsageTotals();
  const exchange = createExchange(kernel, { counter, totals, time, timing });
  const metrics = new UsageMetrics(
    kernel.get(metricsRegistryToken),
    () => reporter.acceptedAgeMs,
  );
  const reporter: UsageReporter = new UsageReporter({
    table: kernel.get(tableToken),
    registry: kernel.get(instanceRegistryToken),
    client: kernel.get(dutyClientToken),
    source: {
      requestTotals: fromWindow => {
        exchange.requestTotals(fromWindow);
      },
      isComplete: window => {
        exchange.collectOwnTotals();
        return totals.isComplete(window);
      },
      sumWindow: window => {
        exchange.collectOwnTotals();
        return totals.sumWindow(window);
      },
      get isCandidate() {
        return isCandidate(kernel);
      },
    },
    time,
    timing,
    log: kernel.get(logToken),
    metrics,
    getCallsPerSecond: () =>
      kernel.get(settingsToken).current.duties?.callsPerSecond ??
      duties.callsPerSecond,
  });
  return { counter, exchange, reporter };
};

/** Provides the parts and registers the duty. */
export const usagePlugin: Plugin = {
  name: 'usage',
  register: kernel => {
    kernel.provide(usageToken, createUsageParts);
    kernel.addLifecycleHook({
      name: 'usage',
      rank: startOrder.control,
      start: () => {
        const parts = kernel.get(usageToken);
        if (parts !== undefined)
          kernel.get(dutyLeaderToken).addDuty(parts.reporter);
        return Promise.resolve();
      },
      stop: async () => {
        await kernel.get(usageToken)?.exchange.stop();
      },
    });
  },
};
