/** Tests the HTTP service client against the simulated service server. */
import { Deadline, HttpService } from '@medlarlever/core';
import type { ServiceCall } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { createServiceAnswerBody } from '../shared/deterministic-outputs.js';
import { listen } from '../shared/fake-server.js';

import { ServiceSimulator } from './service-simulator.js';
import { createServiceServer } from './service-server.js';

const neverAbortedSignal = new AbortController().signal;

const startService = async (t: ExecutionContext) => {
  const simulator = new ServiceSimulator('booking');
  const app = createServiceServer(simulator);
  const address = await listen(app, '127.0.0.1', 0);
  const service = new HttpService({
    name: 's1',
    incarnation: 's1#1',
    dataCenter: 'dc-1',
    address,
    service: 'booking',
    settings: { healthCheckValidityMs: 0 },
  });
  t.teardown(async () => {
    service.resetConnections();
    await app.close();
  });
  const silenceConnections = async () => {
    const { body } = await request(`http://${address}/faults`, {
      method: 'POST',
      body: '{"silence":true}',
    });
    await body.dump();
  };
  return { simulator, app, service, silenceConnections };
};

const createCall = (key: string, body = '{"trip":"YUL-CDG"}'): ServiceCall => ({
  id: `r-${key}`,
  customer: 'parents',
  operation: 'book-escort',
  body,
  idempotencyKey: key,
  deadline: Deadline.after(1_000),
});

test('a call that may not be repeated avoids kept connections that no longer answer', async t => {
  const { simulator, service, silenceConnections } = await startService(t);
  const body = createCall('k1').body;
  t.like(
    (
      await service.callOperation(createCall('k1'), neverAbortedSignal)
    ).extract(),
    {
      status: 200,
      body: createServiceAnswerBody('book-escort', body, 1),
    },
  );
  await silenceConnections();
  t.like(
    (
      await service.callOperation(createCall('k2'), neverAbortedSignal)
    ).extract(),
    { status: 200 },
  );
  t.is(simulator.countExecutions('parents', 'k2'), 1);
});

test('a failure states executed "no" only when the call was not executed', async t => {
  const { simulator, service, app } = await startService(t);
  simulator.faults.loseAnswers = 1;
  const lostResult = await service.callOperation(
    createCall('k1'),
    neverAbortedSignal,
  );
  t.like(lostResult.extract(), { executed: 'unknown' });
  t.is(simulator.countExecutions('parents', 'k1'), 1);

  simulator.faults.hang = true;
  const hungResult = await service.callOperation(
    createCall('k2'),
    neverAbortedSignal,
  );
  t.like(hungResult.extract(), {
    code: 'deadline_exceeded',
    executed: 'unknown',
  });
  simulator.faults.hang = false;

  simulator.faults.refuse = true;
  const refusedResult = await service.callOperation(
    createCall('k3'),
    neverAbortedSignal,
  );
  t.like(refusedResult.extract(), { code: 'target_rejected', executed: 'no' });
  await app.close();
  const resultAfterClose = await service.callOperation(
    createCall('k3'),
    neverAbortedSignal,
  );
  t.like(resultAfterClose.extract(), { executed: 'no' });
  t.is(simulator.countExecutions('parents', 'k3'), 0);
});
