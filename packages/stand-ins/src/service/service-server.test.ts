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
  const model = new ServiceSimulator('booking');
  const app = createServiceServer(model);
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
  const silence = async () => {
    const { body } = await request(`http://${address}/faults`, {
      method: 'POST',
      body: '{"silence":true}',
    });
    await body.dump();
  };
  return { model, app, service, silence };
};

const createCall = (key: string, body = '{"trip":"YUL-CDG"}'): ServiceCall => ({
  id: `r-${key}`,
  customer: 'parents',
  operation: 'book-escort',
  body,
  idempotencyKey: key,
  deadline: Deadline.after(1_000),
});

test('a call that may not be repeated avoids unproven connections', async t => {
  const { model, service, silence } = await startService(t);
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
  await silence();
  t.like(
    (
      await service.callOperation(createCall('k2'), neverAbortedSignal)
    ).extract(),
    {
      status: 200,
    },
  );
  t.is(model.countExecutions('parents', 'k2'), 1);
});

test('"not run" is said only when it is true', async t => {
  const { model, service, app } = await startService(t);
  model.faults.loseAnswers = 1;
  const lost = await service.callOperation(
    createCall('k1'),
    neverAbortedSignal,
  );
  t.like(lost.extract(), { executed: 'unknown' });
  t.is(model.countExecutions('parents', 'k1'), 1);

  model.faults.hang = true;
  const hung = await service.callOperation(
    createCall('k2'),
    neverAbortedSignal,
  );
  t.like(hung.extract(), { code: 'deadline_exceeded', executed: 'unknown' });
  model.faults.hang = false;

  model.faults.refuse = true;
  const refused = await service.callOperation(
    createCall('k3'),
    neverAbortedSignal,
  );
  t.like(refused.extract(), { code: 'target_rejected', executed: 'no' });
  await app.close();
  const gone = await service.callOperation(
    createCall('k3'),
    neverAbortedSignal,
  );
  t.like(gone.extract(), { executed: 'no' });
  t.is(model.countExecutions('parents', 'k3'), 0);
});
