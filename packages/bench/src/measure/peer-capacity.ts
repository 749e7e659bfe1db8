/** Measures bytes and processor time of peer messages over real connections. */
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

/** Starts a peer that answers each call and counts the bytes of its sockets. */
const startByteCountingPeer = async () => {
  const sockets = new Set<Socket>();
  const server: Server = createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => (body += chunk.toString()));
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
  const countBytes = () =>
    [...sockets].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      0,
    );
  return { server, countBytes, port: (server.address() as AddressInfo).port };
};

/** Measures heartbeats, and dispatch batches that name 1 and 8 engines. */
export const measurePeerTraffic = async (): Promise<Measurement[]> => {
  const peer = await startByteCountingPeer();
  const client = new JsonRpcPeer({
    name: 'entry-1',
    dataCenter: 'r1-a',
    incarnation: 'entry-1-4f1c2a9be07d',
    address: `127.0.0.1:${peer.port}`,
    secret: 'a-secret-of-a-customary-length-32',
    self: 'entry-0',
  });
  const heartbeat = {
    self: createInstanceRecord(0),
    records: [],
    known: { incarnation: 'entry-1-4f1c2a9be07d', position: 400 },
  };
  const sendHeartbeats = async (count: number) => {
    for (let n = 0; n < count; n += 1) {
      await client.callMethod(heartbeatMethod, heartbeat, { timeoutMs: 2_000 });
    }
  };
  await sendHeartbeats(warmUpHeartbeatCount);
  const bytesBefore = peer.countBytes();
  const cpuBefore = process.cpuUsage();
  await sendHeartbeats(heartbeatCount);
  const cpu = process.cpuUsage(cpuBefore);
  const heartbeatBytes = (peer.countBytes() - bytesBefore) / heartbeatCount;
  const batchBytes = [];
  for (const count of [1, 8]) {
    const engines = Array.from({ length: count }, (_, n) => [
      `r1-a-engine-${n}`,
      2,
      7_000,
    ]);
    const batchBytesBefore = peer.countBytes();
    const params = { share: 0.1, engines };
    await client.callMethod(dispatchBatchMethod, params, { timeoutMs: 2_000 });
    batchBytes.push(peer.countBytes() - batchBytesBefore);
  }
  await client.close();
  await new Promise(resolve => peer.server.close(resolve));
  const cpuMs = (cpu.user + cpu.system) / 1_000 / heartbeatCount;
  return [
    createMeasurement(
      'peer: heartbeat and answer, headers included',
      heartbeatBytes,
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
      batchBytes[0] ?? 0,
      'bytes',
      0,
    ),
    createMeasurement(
      'peer: call naming 8 engines',
      batchBytes[1] ?? 0,
      'bytes',
      0,
    ),
  ];
};
