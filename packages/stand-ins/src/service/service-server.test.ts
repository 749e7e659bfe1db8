import { Deadline, HttpService } from '@medlarlever/core';
import type { ServiceCall } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { serviceAnswerText } from '../shared/deterministic-outputs.js';
import { listen } from '../shared/fake-server.js';

import { ServiceModel } from './service-simulator.js';
import { createServiceServer } from './service-server.js';

const never = new AbortController().signal;

const startService = async (t: ExecutionContext) => {
  const model = new ServiceModel('booking');
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

const call = (key: string, body = '{"trip":"YUL-CDG"}'): ServiceCall => ({
  id: `r-${key}`,
  customer: 'parents',
  operation: 'book-escort',
  body,
  idempotencyKey: key,
  deadline: Deadline.after(1_000),
});

test('a call that may not be repeated avoids unproven connections', async t => {
  const { model, service, silence } = await startService(t);
  const body = call('k1').body;
  t.like((await service.callOperation(call('k1'), never)).extract(), {
    status: 200,
    body: serviceAnswerText('book-escort', body, 1),
  });
  await silence();
  t.like((await service.callOperation(call('k2'), never)).extract(), {
    status: 200,
  });
  t.is(model.runsOf('parents', 'k2'), 1);
});

test('"not run" is said only when it is true', async t => {
  const { model, service, app } = await startService(t);
  model.faults.loseAnswers = 1;
  const lost = await service.callOperation(call('k1'), never);
  t.like(lost.extract(), { executed: 'unknown' });
  t.is(model.runsOf('parents', 'k1'), 1);

  model.faults.hang = true;
  const hung = await service.callOperation(call('k2'), never);
  t.like(hung.extract(), { code: 'deadline_exceeded', executed: 'unknown' });
  model.faults.hang = false;

  model.faults.refuse = true;
  const refused = await service.callOperation(call('k3'), never);
  t.like(refused.extract(), { code: 'target_rejected', executed: 'no' });
  await app.close();
  const gone = await service.callOperation(call('k3'), never);
  t.like(gone.extract(), { executed: 'no' });
  t.is(model.runsOf('parents', 'k3'), 0);
});
