/**
 * Clients that don't behave, at each port of an instance on the platform. Each test starts the
 * process with smaller limits than those in service, and a crowd that is as much smaller.
 */
import { notificationPath, notificationProtocol } from '@medlarlever/core';
import {
  ScriptedTarget,
  buildResponse,
  headerNames,
  readinessPath,
  startDaemonWithTargets,
} from '@medlarlever/platform/stand-ins';
import type { TestDaemonProcess } from '@medlarlever/platform/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import type { ClientInput } from './client-crowd.js';
import {
  createRequest,
  sendAhead,
  sendUnfinishedBody,
  sendUnfinishedHead,
  sendUnfinishedLine,
} from './client-input.js';
import { checkCrowd } from './crowd-check.js';
import type { OrdinaryRequest } from './crowd-check.js';

const memory = {
  heapMegabytes: 128,
  limitMegabytes: 280,
  maxDescriptors: 400,
};
const bodyBytes = 4_000_000;
const timeoutMs = 5_000;
const host = 'desk.example';
const longAnswer = 'x'.repeat(50_000);
const testTimeoutMs = 90_000;

/** Ports of the process, by what they are for. */
type PortName = 'callerPort' | 'readinessPort' | 'metricsPort' | 'peerPort';

const startInstance = async (
  t: ExecutionContext,
): Promise<TestDaemonProcess> => {
  const target = await ScriptedTarget.start(request => {
    const isLong = request.line.includes('/rules/long');
    request.socket.write(buildResponse(request, isLong ? longAnswer : 'ok'));
  });
  t.teardown(() => target.stop());
  return startDaemonWithTargets(t, {
    addresses: { api: target.address },
    timeoutMs,
    maxBodyBytes: bodyBytes,
    memory,
  });
};

const usualHeaders =
  `${headerNames.attemptId}: a1\r\n` +
  `${headerNames.deadlineMs}: ${timeoutMs}\r\n`;

/** One request of a caller, and the question that the load balancer asks. */
const createOrdinaryRequests = ({
  callerPort,
  readinessPort,
}: TestDaemonProcess): readonly OrdinaryRequest[] => [
  {
    url: `http://127.0.0.1:${callerPort}/rules/ordinary`,
    method: 'POST',
    headers: {
      host,
      [headerNames.attemptId]: 'ordinary',
      [headerNames.deadlineMs]: String(timeoutMs),
    },
    body: 'x'.repeat(1_000),
  },
  {
    url: `http://127.0.0.1:${readinessPort}${readinessPath}`,
    method: 'GET',
    headers: {},
  },
];

interface CrowdCase {
  readonly title: string;
  readonly port: PortName;
  readonly counts: readonly number[];
  readonly input: ClientInput;
}

const callerCases: readonly CrowdCase[] = [
  {
    title: 'requests sent ahead without the usual headers',
    port: 'callerPort',
    counts: [1, 24],
    input: sendAhead({ path: '/rules/1', host }),
  },
  {
    title: 'requests sent ahead with all usual headers',
    port: 'callerPort',
    counts: [1, 24],
    input: sendAhead({ path: '/rules/1', host, headers: usualHeaders }),
  },
  {
    title: 'requests sent ahead to a host without a route',
    port: 'callerPort',
    counts: [1, 24],
    input: sendAhead({ host: 'none.example' }),
  },
  {
    title: 'requests sent ahead for long answers',
    port: 'callerPort',
    counts: [24],
    input: sendAhead({ path: '/rules/long', host, headers: usualHeaders }),
  },
  {
    title: 'requests sent ahead that ask to go on',
    port: 'callerPort',
    counts: [24],
    input: sendAhead({
      method: 'POST',
      path: '/rules/1',
      host,
      headers: 'Expect: 100-continue\r\n',
      body: 'x',
    }),
  },
  {
    title: 'requests sent ahead with short bodies',
    port: 'callerPort',
    counts: [24],
    input: sendAhead({
      method: 'POST',
      path: '/rules/1',
      host,
      body: 'x'.repeat(1_000),
    }),
  },
  {
    title: 'requests sent ahead with long bodies',
    port: 'callerPort',
    counts: [24],
    input: sendAhead(
      {
        method: 'POST',
        path: '/rules/1',
        host,
        headers: usualHeaders,
        body: 'x'.repeat(1_000_000),
      },
      10_000_000,
    ),
  },
  {
    title: 'requests sent ahead that name no host',
    port: 'callerPort',
    counts: [24],
    input: sendAhead({ path: '/rules/1' }),
  },
];

const bodyCases: readonly CrowdCase[] = (
  [
    ['in chunks of 64 KB', [100], 65_536],
    ['in chunks of 16 bytes', [40], 16],
    ['in chunks of one byte', [1, 40], 1],
    ['with a length', [100], undefined],
  ] as const
).map(([name, counts, chunkBytes]) => ({
  title: `bodies ${name} that stop short of their end`,
  port: 'callerPort',
  counts,
  input: sendUnfinishedBody({
    path: '/rules/1',
    host,
    headers: usualHeaders,
    bodyBytes,
    chunkBytes,
  }),
}));

/** Paths of the ports that are not for callers; the second one is unknown there. */
const otherPorts = [
  ['readinessPort', readinessPath],
  ['metricsPort', '/metrics'],
  ['peerPort', '/rpc'],
] as const;

const otherPortCases: readonly CrowdCase[] = otherPorts.flatMap(
  ([port, path]): CrowdCase[] => [
    {
      title: `requests sent ahead at ${path}`,
      port,
      counts: [1, 24],
      input: sendAhead({ path, host }),
    },
    {
      title: `requests sent ahead at another path than ${path}`,
      port,
      counts: [24],
      input: sendAhead({ path: '/none', host }),
    },
    {
      title: `calls sent ahead at ${path}`,
      port,
      counts: [24],
      input: sendAhead({
        method: 'POST',
        path,
        host,
        headers: 'Content-Type: application/json\r\n',
        body: '{"jsonrpc":"2.0","id":1,"method":"none"}',
      }),
    },
    {
      title: `bodies that stop short of their end at ${path}`,
      port,
      counts: [300],
      input: sendUnfinishedBody({
        path,
        host,
        headers: 'Content-Type: application/json\r\n',
        bodyBytes: 1_000_000,
        chunkBytes: 65_536,
      }),
    },
    {
      title: `bodies in chunks of one byte at ${path}`,
      port,
      counts: [40],
      input: sendUnfinishedBody({
        path,
        host,
        headers: 'Content-Type: application/json\r\n',
        bodyBytes: 1_000_000,
        chunkBytes: 1,
      }),
    },
    {
      title: `unfinished heads at ${path}`,
      port,
      counts: [500],
      input: sendUnfinishedHead(host),
    },
  ],
);

const lineCase: CrowdCase = {
  title: 'lines of notifications that have no end',
  port: 'peerPort',
  counts: [100],
  input: sendUnfinishedLine(notificationPath, notificationProtocol),
};

const connectionCases: readonly CrowdCase[] = [
  {
    title: 'unfinished heads of callers',
    port: 'callerPort',
    counts: [500],
    input: sendUnfinishedHead(host),
  },
  {
    title: 'connections of callers without a request',
    port: 'callerPort',
    counts: [500],
    input: { head: '', repeated: '', maxBytes: 0 },
  },
  {
    title: 'connections of callers that have had an answer',
    port: 'callerPort',
    counts: [500],
    input: {
      head: createRequest({ host: 'none.example' }),
      repeated: '',
      maxBytes: 0,
    },
  },
];

for (const { title, port, counts, input } of [
  ...callerCases,
  ...bodyCases,
  ...otherPortCases,
  lineCase,
  ...connectionCases,
])
  for (const connectionCount of counts)
    test.serial(`${connectionCount} x ${title}`, async t => {
      t.timeout(testTimeoutMs);
      const instance = await startInstance(t);
      await checkCrowd(
        t,
        {
          child: instance.child,
          maxMegabytes: memory.limitMegabytes,
          maxDescriptors: memory.maxDescriptors,
          ordinaryRequests: createOrdinaryRequests(instance),
        },
        { port: instance[port], connectionCount, input },
      );
    });
