/** Tests the label limits and refusal counts of the request metrics. */
import test from 'ava';
import { Registry } from 'prom-client';

import { Failure } from '../shared/failure.js';

import { RequestMetrics } from './request-metrics.js';

test('3,200 customers create no more time series than the limit allows', async t => {
  const registry = new Registry();
  const metrics = new RequestMetrics({ registry, maxCustomers: 10 });
  for (let i = 0; i < 3_200; i += 1) {
    const customer = `customer-${i}`;
    metrics.observeRequest(
      { customer, class: 'batch', service: 'models' },
      200,
    );
  }
  const lines = (await registry.metrics()).split('\n');
  const countLines = lines.filter(line =>
    line.startsWith('medlarlever_request_seconds_count'),
  );
  t.is(countLines.length, 11);
  t.true(countLines.some(line => /customer="other".* 3190$/.test(line)));
});

test('refusals are counted by result code and execution status', async t => {
  const registry = new Registry();
  const metrics = new RequestMetrics({ registry });
  const failure = new Failure('target_failed', 'x', { executed: 'unknown' });
  metrics.countRefusal('booking', failure);
  metrics.countRefusal('booking', failure);
  const metricsText = await registry.metrics();
  t.regex(
    metricsText,
    /refusals_total\{code="target_failed",executed="unknown",service="booking"\} 2/,
  );
});
