/** Requests that one instance hands to another over HTTP. */
import { execFileSync } from 'node:child_process';
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import test from 'ava';
import type { ExecutionContext } from 'ava';

import { createConnectedRelay } from '../fixtures/connected-relay.js';
import type { ConnectedRelayOptions } from '../fixtures/connected-relay.js';
import { FakeCaller } from '../fixtures/fake-caller.js';
import {
  sendCompleteResponse,
  sendIncompleteResponse,
  waitForAbort,
} from '../fixtures/fake-target-client.js';
import { FakeDeployment } from '../fixtures/fake-topology.js';
import { createRequest } from '../fixtures/relay-fixtures.js';
import type { CallerSink } from '../relay/response-sinks.js';
import type { Route } from '../routes/route-configuration.js';

import { noArrivals } from '../retries/request-retries.js';

import { encodeForwardedRequest, forwardPath } from './forwarded-request.js';
import { HttpRequestForwarder } from './http-request-forwarder.js';
import { chooseNeighbor } from './neighbor-selection.js';

const startInstances = async (
  t: ExecutionContext,
  names: readonly string[],
  route: Partial<Route> = {},
  deployment = new FakeDeployment(),
  options: Partial<ConnectedRelayOptions> = {},
) => {
  return Promise.all(
    names.map(async self => {
      const stop = new AbortController();
      t.teardown(() => {
        stop.abort();
      });
      return createConnectedRelay(
        { self, route, ...options },
        deployment,
        stop.signal,
      );
    }),
  );
};

type Instance = Awaited<ReturnType<typeof startInstances>>[number];

/** Lets all connections to targets fail, so that the instance finds its link down. */
const cutOff = async ({ client, dependencies, targetRegistry }: Instance) => {
  client.probeResult = 'no_connection';
  client.onSend = () =>
    Promise.resolve({
      kind: 'broken',
      phase: 'connecting',
      reason: 'refused',
    });
  for (const { record } of targetRegistry.listTargets())
    dependencies.targetLink.recordFailure(record);
  await dependencies.targetLink.settle();
};

test.serial(
  'a request is handed over as it came, with what is left of its time',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other']);
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    const caller = await cut.serve({
      id: 'a9',
      url: '/rules/7?x=%2f',
      headers: ['X-One', '1', 'x-one', '2'],
      body: Buffer.from([0, 255, 10]),
      callerTimeoutMs: 700,
    });
    t.is(caller.text, 'ok');
    t.is(cut.client.sends.length, 0);
    const [send] = other.client.sends;
    t.true((send?.options.remainingMs ?? 0) <= 700);
    t.true((send?.options.remainingMs ?? 0) > 300);
  },
);

test.serial(
  'a request that has reached a target takes a retry where it is handed over',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other'], {
      kind: 'idempotent',
    });
    if (cut === undefined || other === undefined) return t.fail();
    const countRetries = () => {
      const [state] = other.dependencies.serviceStates.listStates();
      return 40 - (state?.[1].retryBudget.remainingRetries ?? 40);
    };
    cut.client.onSend = async () => {
      await cutOff(cut);
      return { kind: 'broken', phase: 'sent', reason: 'reset' };
    };
    const caller = await cut.serve();
    t.is(caller.text, 'ok');
    t.is(other.client.sends.length, 1);
    t.is(countRetries(), 1);
    await cut.serve();
    t.is(other.client.sends.length, 2);
    t.is(countRetries(), 1);
  },
);

const customers = [{ name: 'first', keyHashes: ['h1'] }];

test.serial(
  'a request that is handed over names its customer at the target',
  async t => {
    const deployment = new FakeDeployment();
    const names = ['cut', 'other'];
    const instances = await startInstances(t, names, {}, deployment, {
      customers,
    });
    const [cut, other] = instances;
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    const caller = await cut.serve({ keyHash: 'h1' });
    t.is(caller.text, 'ok');
    t.is(other.client.sends[0]?.customer, 'first');
    t.is((await cut.serve({ keyHash: undefined })).failure?.status, 401);
    t.is(other.client.sends.length, 1);
  },
);

test.serial(
  'a request with a customer leaves from the address by which instances know the sender',
  async t => {
    const origins: string[] = [];
    const server = createServer((message, response) => {
      origins.push(
        `${message.url ?? ''} ${message.socket.remoteAddress ?? ''}`,
      );
      response.end();
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    const createRecord = (name: string, address: string) => ({
      name,
      dataCenter: 'a',
      incarnation: name,
      address,
      state: 'live' as const,
      revision: 0,
      startedAtMs: 0,
      version: 0,
      lastSeenMs: 0,
    });
    const forwarder = new HttpRequestForwarder({
      registry: {
        self: createRecord('self', '127.0.0.9:7000'),
        listInstances: () => [createRecord('other', `127.0.0.1:${port}`)],
      },
      isCutOff: () => false,
      random: () => 0.5,
    });
    t.teardown(async () => {
      await forwarder.close();
      server.close();
    });
    const sink = {
      onHead: () => false,
      lastEventId: undefined,
    } as unknown as CallerSink;
    for (const customer of [undefined, 'first'])
      await forwarder.forward(
        createRequest({ customer }),
        {
          remainingMs: 1_000,
          lastEventId: undefined,
          earlierArrivals: noArrivals,
          excluded: new Set(),
          signal: new AbortController().signal,
        },
        sink,
      );
    t.deepEqual(origins, [
      '/forwarded-requests 127.0.0.1',
      '/forwarded-customer-requests 127.0.0.9',
    ]);
  },
);

// Guards against an instance that runs out of memory because others hand their requests over.
test.serial(
  'forwarded requests that exceed a share of the memory are refused, unrun',
  async t => {
    const requestCount = 8;
    const bodyBytes = 300_000;
    const [cut, other] = await startInstances(
      t,
      ['cut', 'other'],
      { kind: 'non_idempotent' },
      new FakeDeployment(),
      { memoryBytes: 16_000_000 },
    );
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    const release = new AbortController();
    other.client.onSend = async (_target, _options, sink) => {
      await waitForAbort(release.signal);
      return sendCompleteResponse(sink, 'ok');
    };
    const callers: FakeCaller[] = [];
    const served = Promise.all(
      Array.from({ length: requestCount }, async (_, i) => {
        const body = Buffer.alloc(bodyBytes, 'b');
        callers.push(await cut.serve({ id: `a${i}`, body }));
      }),
    );
    // Until it is decided of each request whether it is run.
    while (callers.length + other.client.sends.length < requestCount)
      await pause(1);
    release.abort();
    await served;
    const runCount = other.client.sends.length;
    // A tenth of the memory holds four of the messages, whose bodies are in base64.
    t.true(runCount >= 1 && runCount <= 4, `${runCount} requests`);
    t.is(callers.filter(({ text }) => text === 'ok').length, runCount);
    const refused = callers.filter(
      ({ failure }) =>
        failure?.code === 'overloaded' && failure.executed === 'no',
    );
    t.is(refused.length, requestCount - runCount);
  },
);

test.serial(
  'a request from a sender that is no known instance is refused',
  async t => {
    const deployment = new FakeDeployment();
    const names = ['cut', 'other'];
    const instances = await startInstances(t, names, {}, deployment, {
      customers,
      knowsSenders: false,
    });
    const [cut, other] = instances;
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    const { failure } = await cut.serve({ keyHash: 'h1' });
    t.is(failure?.executed, 'no');
    t.is(failure?.status, 503, 'the caller has nothing to do with the refusal');
    t.is(other.client.sends.length, 0);
  },
);

test.serial('an instance that is asked never asks a third one', async t => {
  const [cut, other] = await startInstances(t, ['cut', 'other']);
  if (cut === undefined || other === undefined) return t.fail();
  await cutOff(cut);
  await cutOff(other);
  const caller = await cut.serve();
  t.is(caller.failure?.executed, 'no');
  t.is(caller.failure?.status, 503);
  t.true(
    cut.log.entries.filter(({ name }) => name === 'request_forwarded').length <=
      2,
  );
});

test.serial(
  'another instance is asked if the first one can not be reached',
  async t => {
    const [cut, ...others] = await startInstances(t, ['cut', 'b', 'c']);
    if (cut === undefined) return t.fail();
    await cutOff(cut);
    await others[0]?.dependencies.targetLink.settle();
    others[0]?.routes.applyIfNewer(
      {
        version: 9,
        routes: [],
        services: [],
        limits: {
          headerBytes: 1,
          bodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        },
      },
      'test',
    );
    for (let i = 0; i < 6; i += 1) t.is((await cut.serve()).text, 'ok');
  },
);

test.serial(
  'a request that may have run elsewhere is unknown, and not sent again',
  async t => {
    const [cut, ...others] = await startInstances(t, ['cut', 'b', 'c'], {
      kind: 'non_idempotent',
    });
    if (cut === undefined) return t.fail();
    await cutOff(cut);
    for (const { client } of others) {
      client.onSend = (_target, _options, sink) =>
        Promise.resolve(sendIncompleteResponse(sink, ''));
    }
    const caller = await cut.serve();
    t.is(caller.failure?.executed, 'unknown');
    t.is(caller.failure?.status, 502);
    const sendCount = others.reduce(
      (sum, { client }) => sum + client.sends.length,
      0,
    );
    t.is(sendCount, 1);
  },
);

test.serial(
  'an answer that breaks off elsewhere looks broken here',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other'], {
      kind: 'stream',
    });
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    other.client.onSend = async (_target, _options, sink) => {
      const outcome = sendIncompleteResponse(sink, 'id: 1\n\n');
      await pause(50);
      return outcome;
    };
    const caller = await cut.serve();
    t.true(caller.isAborted);
    t.false(caller.isEnded);
  },
);

test.serial(
  'a caller that leaves ends the request at the target of the other instance',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other']);
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    const caller = new FakeCaller();
    const aborted = new Promise<void>(resolve => {
      other.client.onSend = async (_target, { signal }) => {
        caller.disconnectController.abort();
        await waitForAbort(signal);
        resolve();
        return { kind: 'aborted' };
      };
    });
    await cut.relay.serve(createRequest(), caller);
    await aborted;
    t.is(caller.failure, undefined);
  },
);

/**
 * Sends a request to the peer interface and disconnects in a child process, and blocks until
 * that process ends. Both have thus arrived before this process reads anything.
 */
const handOverAndDisconnect = (address: string): void => {
  const [host = '', port = ''] = address.split(':');
  const message = encodeForwardedRequest(createRequest(), {
    remainingMs: 1_000,
    lastEventId: undefined,
    earlierArrivals: noArrivals,
  });
  const body = JSON.stringify(message);
  const head = [
    `POST ${forwardPath} HTTP/1.1`,
    `host: ${address}`,
    `content-length: ${Buffer.byteLength(body)}`,
  ];
  const script = `
    const socket = require('node:net').connect(${port}, '${host}');
    socket.end(process.argv[1]);
    socket.on('finish', () => setTimeout(() => process.exit(0), 200));
  `;
  const bytes = `${head.join('\r\n')}\r\n\r\n${body}`;
  execFileSync(process.execPath, ['-e', script, bytes]);
};

// Guards against running what an instance that stood still was asked for and isn't any more.
test.serial(
  'a request that its sender has given up before it was read is not run',
  async t => {
    const deployment = new FakeDeployment();
    const [other] = await startInstances(t, ['other'], {}, deployment);
    const [record] = deployment.instanceRecords;
    if (other === undefined || record === undefined) return t.fail();
    const ended = () =>
      other.log.entries.find(({ name }) => name.startsWith('request_'));
    handOverAndDisconnect(record.address);
    while (ended() === undefined) await pause(5);
    t.is(ended()?.fields.outcome, 'caller_gone');
    t.is(other.client.sends.length, 0);
  },
);

test.serial(
  'a refusal of the other instance comes back with its number and time',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other']);
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    for (const target of ['x1', 'x2', 'x3']) {
      other.crashes.recordSuspectedCrash({ fingerprint: 'f1' }, { id: target });
      other.crashes.confirmCrash(target);
    }
    const caller = await cut.serve();
    t.is(caller.failure?.code, 'poison_request');
    t.is(caller.failure?.executed, 'no');
  },
);

test.serial(
  'a hung stream goes on at another instance after its last event',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other'], {
      kind: 'stream',
      resumable: true,
      timeoutMs: 10_000,
      services: [{ name: 'engines', weight: 1 }],
    });
    if (cut === undefined || other === undefined) return t.fail();
    for (const { targetRegistry } of [cut, other]) {
      for (const id of ['d1', 'd2'])
        targetRegistry.registerTarget({
          id,
          service: 'engines',
          address: `10.0.0.1:${id.length}`,
          dataCenter: 'a',
          slots: 8,
          leaving: false,
          role: 'decode',
        });
    }
    const prompt = {
      model: 'm',
      tokens: 10,
      maxOutputTokens: 10,
      segments: [{ id: 'own', tokens: 10 }],
    };
    cut.client.onSend = async (_target, { signal }, sink) => {
      sink.onHead({ status: 200, headers: [], isCloseDelimited: false });
      sink.onData(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
      cut.client.probeResult = 'no_connection';
      for (const { record } of cut.targetRegistry.listTargets())
        cut.dependencies.targetLink.recordFailure(record);
      await waitForAbort(signal);
      return { kind: 'aborted' };
    };
    other.client.onSend = (_target, _options, sink) =>
      Promise.resolve(sendCompleteResponse(sink, 'id: 2\ndata: b\n\n'));
    const caller = await cut.serve({ prompt });
    t.true(caller.isEnded, caller.failure?.message);
    t.is(caller.text, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  },
);

test.serial('near instances are chosen first, and none gets all', t => {
  const counts = new Map([
    ['a', 0],
    ['b', 0],
    ['c', 0],
  ]);
  for (let i = 0; i < 30; i += 1) {
    const chosen = chooseNeighbor(
      [...counts].map(([name, forwardedCount]) => ({
        name,
        address: name,
        isLocal: name === 'a',
        forwardedCount,
      })),
      () => 0.5,
    );
    if (chosen !== undefined)
      counts.set(chosen.name, (counts.get(chosen.name) ?? 0) + 1);
  }
  const values = [...counts.values()];
  t.is(counts.get('a'), Math.max(...values));
  t.true(Math.max(...values) - Math.min(...values) <= 3);
  t.is(
    chooseNeighbor([], () => 0.5),
    undefined,
  );
});

test.serial(
  'crashes of all targets at once are counted, though they look like a broken link',
  async t => {
    const [instance] = await startInstances(t, ['only'], {
      kind: 'stream',
      resumable: true,
      services: [{ name: 'engines', weight: 1 }],
    });
    if (instance === undefined) return t.fail();
    const { client, targetRegistry, log } = instance;
    targetRegistry.registerTarget({
      id: 'd1',
      service: 'engines',
      address: '10.0.0.1:1',
      dataCenter: 'a',
      slots: 8,
      leaving: false,
      role: 'decode',
    });
    await cutOff(instance);
    client.goneTargetIds.add('d1');
    client.onSend = () =>
      Promise.resolve({ kind: 'broken', phase: 'answering', reason: 'reset' });
    await instance.serve({
      prompt: {
        model: 'm',
        tokens: 20,
        maxOutputTokens: 10,
        segments: [
          { id: 'shared', tokens: 10 },
          { id: 'own', tokens: 10 },
        ],
      },
    });
    await pause(20);
    const crashes = log.entries.filter(({ name }) => name === 'target_crashed');
    t.is(crashes.length, 1);
    t.false(instance.crashes.requests.isRefused('f1'));
    t.is(instance.promptQuarantine.listCrashes(false).length, 1);
  },
);

/** Adds an instance whose peer interface answers forwarded requests otherwise. */
const startOtherServer = async (
  t: ExecutionContext,
  deployment: FakeDeployment,
  respond: (response: ServerResponse) => void,
) => {
  const server = createServer((message, response) => {
    message.resume();
    message.once('end', () => {
      respond(response);
    });
  });
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const [known] = deployment.instanceRecords;
  if (known === undefined) throw new Error('there is no instance yet');
  deployment.instanceRecords.push({
    ...known,
    name: 'old',
    address: `127.0.0.1:${port}`,
  });
};

for (const status of [404, 413, 500, 200]) {
  test.serial(
    `an answer with ${status} that no target gave is not passed on`,
    async t => {
      const deployment = new FakeDeployment();
      const [cut] = await startInstances(t, ['cut'], {}, deployment);
      if (cut === undefined) return t.fail();
      await startOtherServer(t, deployment, response => {
        response.writeHead(status).end('not an answer');
      });
      await cutOff(cut);
      const caller = await cut.serve();
      t.is(caller.status, undefined);
      t.is(caller.failure?.code, 'no_target');
      t.is(caller.failure?.executed, 'no');
    },
  );
}

test.serial(
  'an instance that fails while it serves does not say that the request has not run',
  async t => {
    const [cut, other] = await startInstances(t, ['cut', 'other']);
    if (cut === undefined || other === undefined) return t.fail();
    await cutOff(cut);
    other.relay.serve = () => Promise.reject(new Error('a defect'));
    const caller = await cut.serve();
    t.is(caller.failure?.executed, 'unknown');
    t.is(caller.failure?.status, 502);
  },
);
