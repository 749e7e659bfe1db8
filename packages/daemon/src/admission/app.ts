/** Registers admission and the histograms of requests. */
import { FairAdmission, RequestMetrics } from '@medlarlever/core';
import type { AdmissionRequest } from '@medlarlever/core';

import { registerApp } from '../kernel/app.js';
import {
  admissionPart,
  metricsPart,
  randomPart,
  registryPart,
  requestMetricsPart,
  settingsPart,
} from '../kernel/parts.js';

/** Speeds behind the expected run time, for shedding by deadline. */
const prefillTokensPerSecond = 20_000;
const decodeTokensPerSecond = 40;
const operationMs = 100;

const expectedRunMs = ({ promptTokens, outputTokens }: AdmissionRequest) =>
  promptTokens === 0
    ? operationMs
    : (1_000 * promptTokens) / prefillTokensPerSecond +
      (1_000 * Math.min(outputTokens, 1)) / decodeTokensPerSecond;

registerApp('admission', kernel => {
  kernel.provide(
    requestMetricsPart,
    k => new RequestMetrics({ registry: k.get(metricsPart) }),
  );
  kernel.provide(admissionPart, k => {
    const { concurrency, queue } = k.get(settingsPart).requests;
    const registry = k.get(registryPart);
    return new FairAdmission({
      boundsOf: () => ({ running: concurrency, queued: queue }),
      expectedRunMs,
      random: k.get(randomPart),
      share: () => 1 / Math.max(1, registry.all().length),
    });
  });
});
