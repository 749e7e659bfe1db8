/** Bytes and processor time of the peers' messages over real connections. */
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

import {
  JsonRpcPeer,
  heartbeatMethod,
  dispatchBatchMethod,
} from '@medlarlever/core';
import type { InstanceRecord } from '@medlarlever/core';

import { createMeasurement } from './create-measurement.js';
import type { Measurement } from './measurement.js';

const warmUpHeartbeatCount = 500;
const heartbeatCount = 2_000;

const createInstanceRecord = (n: number): InstanceRecord => ({
  name: `entry-${n}`,
  dataCenter: 'r1-a',
  incarnation: `entry-${n}-4f1c2a9be07d`,
  address: '10.0.0.1:7400',
  state: 'live',
  revision: 1_200,
  startedAtMs: 1_790_000_000_000,
  version: 12,
});

/** A peer that answers each call and counts the bytes of its sockets. */
const startByteCountingPeer = async () => {
  const sockets = new Set<Socket>();
  const server: Server = createServer((request, response) => {
    let body = '';
    request.on('data', (part: Buffer) => (body += part.toString()));
    request.on('end', () => {
      const { id } = JSON.parse(body) as { readonly id?: number };
      if (id === undefined) {
        response.writeHead(204).end();
        return;
      }
      const result = {
        self: createInstanceRecord(1),
        records: [],
        position: 400,
      };
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify({ jsonrpc: '2.0', id, result }));
    });
  });
  server.on('connection', socket => sockets.add(socket));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const bytes = () =>
    [...sockets].reduce((sum, s) => sum + s.bytesRead + s.bytesWritten, 0);
  return { server, bytes, port: (server.address() as AddressInfo).port };
};

/** Bytes and processor time of messages between instances. */
export const measurePeerTraffic = async (): Promise<Measurement[]> => {
  const peer = await startByteCountingPeer();
  const link = new JsonRpcPeer({
    name: 'entry-1',
    dataCenter: 'r1-a',
    incarnation: 'entry-1-4f1c2a9be07d',
    address: `127.0.0.1:${peer.port}`,
    secret: 'a-secret-of-a-customary-length-32',
    self: 'entry-0',
  });
  const beat = {
    self: createInstanceRecord(0),
    records: [],
    known: { incarnation: 'entry-1-4f1c2a9be07d', position: 400 },
  };
  const sendBeats = async (count: number) => {
    for (let n = 0; n < count; n += 1) {
      await link.callMethod(heartbeatMethod, beat, { timeoutMs: 2_000 });
    }
  };
  await sendBeats(warmUpHeartbeatCount);
  const bytesBefore = peer.bytes();
  const cpuBefore = process.cpuUsage();
  await sendBeats(heartbeatCount);
  const cpu = process.cpuUsage(cpuBefore);
  const beatBytes = (peer.bytes() - bytesBefore) / heartbeatCount;
  const newsBytes = [];
  for (const count of [1, 8]) {
    const news = Array.from({ length: count }, (_, n) => [
      `r1-a-engine-${n}`,
      2,
      7_000,
    ]);
    const before = peer.bytes();
    const params = { share: 0.1, engines: news };
    await link.callMethod(dispatchBatchMethod, params, { timeoutMs: 2_000 });
    newsBytes.push(peer.bytes() - before);
  }
  await link.close();
  await new Promise(resolve => peer.server.close(resolve));
  const cpuMs = (cpu.user + cpu.system) / 1_000 / heartbeatCount;
  return [
    createMeasurement(
      'peer: heartbeat and answer, headers included',
      beatBytes,
      'bytes',
      0,
    ),
    createMeasurement(
      'peer: processor time of both ends of a heartbeat',
      cpuMs,
      'ms',
      3,
    ),
    createMeasurement(
      'peer: call naming 1 engine',
      newsBytes[0] ?? 0,
      'bytes',
      0,
    ),
    createMeasurement(
      'peer: call naming 8 engines',
      newsBytes[1] ?? 0,
      'bytes',
      0,
    ),
  ];
};
