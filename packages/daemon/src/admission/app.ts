/** Registers admission and the histograms of requests. */
import {
  FairAdmission,
  GenerationLimit,
  RequestMetrics,
  engineSpeedSchema,
  sleep,
} from '@medlarlever/core';
import type { AdmissionRequest } from '@medlarlever/core';

import { modelService } from '../generations/generation-service.js';
import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  admissionPart,
  directoryPart,
  loadBookPart,
  metricsPart,
  randomPart,
  registryPart,
  requestMetricsPart,
  settingsPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

/** How often places are looked for that no release announced. */
const refreshMs = 100;
const operationMs = 100;
const msPerSecond = 1_000;

const speed = engineSpeedSchema.parse({});

/** Time until the first token, by which a late request is shed. */
const expectedRunMs = ({ promptTokens }: AdmissionRequest) =>
  promptTokens === 0
    ? operationMs
    : (msPerSecond * promptTokens) / speed.prefill_tokens_per_second;

/** Generations that run, plus one while some engine has room. */
const modelBound = (kernel: DaemonKernel): (() => number) => {
  const directory = kernel.get(directoryPart);
  const book = kernel.get(loadBookPart);
  const bounds = new GenerationLimit({
    directory,
    loadEstimator: book,
    engineSpeed: speed,
  });
  return () => {
    const running = directory
      .listEngines()
      .reduce(
        (sum, { target }) => sum + book.countRunningDispatches(target.name),
        0,
      );
    return Math.max(1, bounds.computeMaxRunning(running));
  };
};

const createAdmission = (kernel: DaemonKernel): FairAdmission => {
  const { concurrency, queue } = kernel.get(settingsPart).requests;
  const registry = kernel.get(registryPart);
  const modelsRunning = modelBound(kernel);
  return new FairAdmission({
    getServiceLimits: service => ({
      maxRunning:
        service === modelService
          ? Math.min(concurrency, modelsRunning())
          : concurrency,
      maxQueued: queue,
    }),
    estimateRunMs: expectedRunMs,
    random: kernel.get(randomPart),
    getLimitShare: () => 1 / Math.max(1, registry.listInstances().length),
  });
};

const refreshPlaces = async (
  admission: FairAdmission,
  signal: AbortSignal,
): Promise<void> => {
  while (await sleep(refreshMs, signal)) admission.updateQueues();
};

registerApp('admission', kernel => {
  kernel.provide(
    requestMetricsPart,
    k => new RequestMetrics({ registry: k.get(metricsPart) }),
  );
  kernel.provide(admissionPart, () => createAdmission(kernel));
  const stopping = new AbortController();
  kernel.addLifecycleHook({
    name: 'admission',
    rank: startRank.targets,
    start: () => {
      void refreshPlaces(kernel.get(admissionPart), stopping.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopping.abort();
      return Promise.resolve();
    },
  });
});
