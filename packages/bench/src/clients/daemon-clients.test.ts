/**
 * Clients that don't behave, at each interface of `medlarleverd`. Each test starts the process
 * with smaller limits than by default, and a crowd that is as much smaller.
 */
import test from 'ava';

import { callerKey, operatorKey } from '../daemon/deployment.js';

import type { ClientInput } from './client-crowd.js';
import {
  sendAhead,
  sendUnfinishedBody,
  sendUnfinishedHead,
} from './client-input.js';
import { checkCrowd } from './crowd-check.js';
import type { OrdinaryRequest } from './crowd-check.js';
import { startLimitedDaemon } from './daemon-process.js';
import type { LimitedDaemon } from './daemon-process.js';

const limits = {
  heapMegabytes: 128,
  maxBufferedBytes: 56_000_000,
  maxConnections: 200,
};
/** Memory of the machine. */
const maxMegabytes = 280;
/** Connections of the settings, and as many descriptors for all else. */
const maxDescriptors = 2 * limits.maxConnections;
const bodyBytes = 8_000_000;
const host = 'localhost';
const testTimeoutMs = 90_000;

const json = 'Content-Type: application/json\r\n';
const callerHeaders = `Authorization: Bearer ${callerKey}\r\n`;
const operatorHeaders = `Authorization: Bearer ${operatorKey}\r\n`;
const completion = '{"model":"style","prompt":"x","max_tokens":1}';

/** One request of a caller and one of an operator. */
const createOrdinaryRequests = ({
  callerPort,
  operatorPort,
}: LimitedDaemon): readonly OrdinaryRequest[] => [
  {
    url: `http://127.0.0.1:${callerPort}/v1/completions`,
    method: 'POST',
    headers: {
      authorization: `Bearer ${callerKey}`,
      'content-type': 'application/json',
    },
    body: completion,
  },
  {
    url: `http://127.0.0.1:${operatorPort}/operator/status`,
    method: 'GET',
    headers: { authorization: `Bearer ${operatorKey}` },
  },
];

/** Path and headers at an interface. */
interface InterfaceCase {
  readonly port: Exclude<keyof LimitedDaemon, 'child'>;
  readonly getPath: string;
  readonly postPath: string;
  readonly headers: string;
}

const interfaces: readonly InterfaceCase[] = [
  {
    port: 'callerPort',
    getPath: '/v1/models',
    postPath: '/v1/completions',
    headers: callerHeaders,
  },
  {
    port: 'operatorPort',
    getPath: '/metrics',
    postPath: '/operator/configuration',
    headers: operatorHeaders,
  },
  {
    port: 'peerPort',
    getPath: '/rpc',
    postPath: '/rpc',
    headers: '',
  },
];

interface CrowdCase {
  readonly title: string;
  readonly counts: readonly number[];
  readonly input: ClientInput;
}

const createCases = ({
  getPath,
  postPath,
  headers,
}: InterfaceCase): readonly CrowdCase[] => [
  {
    title: `requests sent ahead at ${getPath}`,
    counts: [1, 24],
    input: sendAhead({ path: getPath, host, headers }),
  },
  {
    title: 'requests sent ahead without headers at an unknown path',
    counts: [24],
    input: sendAhead({ path: '/none', host }),
  },
  {
    title: `calls sent ahead at ${postPath}`,
    counts: [24],
    input: sendAhead({
      method: 'POST',
      path: postPath,
      host,
      headers: `${headers}${json}`,
      body: completion,
    }),
  },
  ...(
    [
      ['in chunks of 64 KB', [100], 65_536],
      ['in chunks of one byte', [40], 1],
      ['with a length', [100], undefined],
    ] as const
  ).map(([name, counts, chunkBytes]) => ({
    title: `bodies ${name} that stop short of their end at ${postPath}`,
    counts,
    input: sendUnfinishedBody({
      path: postPath,
      host,
      headers: `${headers}${json}`,
      bodyBytes,
      chunkBytes,
    }),
  })),
  {
    title: 'unfinished heads',
    counts: [500],
    input: sendUnfinishedHead(host),
  },
  {
    title: 'connections without a request',
    counts: [500],
    input: { head: '', repeated: '', maxBytes: 0 },
  },
];

for (const face of interfaces)
  for (const { title, counts, input } of createCases(face))
    for (const connectionCount of counts)
      test.serial(`${face.port}: ${connectionCount} x ${title}`, async t => {
        t.timeout(testTimeoutMs);
        const daemon = await startLimitedDaemon(t, limits);
        await checkCrowd(
          t,
          {
            child: daemon.child,
            maxMegabytes,
            maxDescriptors,
            ordinaryRequests: createOrdinaryRequests(daemon),
          },
          { port: daemon[face.port], connectionCount, input },
        );
      });
