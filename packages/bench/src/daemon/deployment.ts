/** A test deployment: a platform, an engine and a service on HTTP servers, with daemons that use them. */
import { createHash } from 'node:crypto';

import { SilentLog } from '@medlarlever/core';
import type { FleetMember } from '@medlarlever/core';
import {
  EngineSimulator,
  ServiceSimulator,
  createEngineServer,
  createPlatform,
  createPlatformServer,
  createServiceServer,
  listen,
} from '@medlarlever/stand-ins';
import type { EngineOptions } from '@medlarlever/stand-ins';
import type { ExecutionContext } from 'ava';
import { Daemon, listenerRegistryToken, settingsSchema } from 'medlarleverd';
import { request } from 'undici';

/** API keys of two customers and of one operator. */
export const callerKey = 'caller-key';
export const otherCallerKey = 'other-key';
export const operatorKey = 'operator-key';

/** Returns the hash of a key, as settings and templates name it. */
export const hashKey = (key: string) =>
  createHash('sha256').update(key).digest('hex');

const anyPortAddress = '127.0.0.1:0';

/** A started daemon with the `host:port` addresses on which it listens. */
export interface RunningDaemon {
  readonly daemon: Daemon;
  readonly callerAddress: string;
  readonly operatorAddress: string;
}

/** The simulators of a deployment, and the address of the platform as a URL. */
export interface TestServers {
  readonly engine: EngineSimulator;
  readonly service: ServiceSimulator;
  readonly platformUrl: string;
}

/** The simulators of a deployment and a function that starts daemons. */
export interface TestDeployment {
  readonly engine: EngineSimulator;
  readonly service: ServiceSimulator;
  readonly startDaemon: (
    name: string,
    graceMs?: number,
  ) => Promise<RunningDaemon>;
}

const createSettings = (name: string, platformUrl: string, graceMs: number) =>
  settingsSchema.parse({
    instance: { name, data_center: 'dc-1', deployment: 'test' },
    listen: {
      caller: anyPortAddress,
      operator: anyPortAddress,
      peer: anyPortAddress,
    },
    platform: {
      table_url: platformUrl,
      object_url: platformUrl,
      fleet_url: `${platformUrl}/fleet`,
    },
    peers: { secret: 'a secret of the test' },
    operators: [{ name: 'ops', key_hash: hashKey(operatorKey) }],
    streams: { secret: 'a secret of the test' },
    requests: { max_body_bytes: 65_536, body_timeout_ms: 2_000 },
    roles: { policy: 'mixed' },
    shutdown: { notice_ms: 0, grace_ms: graceMs },
  });

const createMember = (
  name: string,
  kind: 'engine' | 'service',
  address: string,
): FleetMember => ({
  name,
  kind,
  dataCenter: 'dc-1',
  incarnation: `${name}#1`,
  address,
  state: 'live',
  ...(kind === 'service' ? { service: 'guide' } : {}),
});

const template = {
  name: 'desk',
  models: [{ alias: 'style', name: 'style-base', version: '1' }],
  operations: [
    { service: 'guide', operation: 'publish', idempotent: false },
    { service: 'guide', operation: 'lookup', idempotent: true },
  ],
  customers: {
    desk: { key_hashes: [hashKey(callerKey)] },
    other: { key_hashes: [hashKey(otherCallerKey)] },
  },
};

/** Applies the template of the test's customers as the first revision. */
export const applyTemplate = async (operatorAddress: string): Promise<void> => {
  const { statusCode, body } = await request(
    `http://${operatorAddress}/operator/configuration`,
    {
      method: 'POST',
      headers: {
        authorization: `Bearer ${operatorKey}`,
        'content-type': 'application/json',
      },
      body: JSON.stringify({
        operationId: 'first',
        baseRevision: 0,
        templates: { desk: template },
      }),
    },
  );
  const text = await body.text();
  if (statusCode !== 200)
    throw new Error(
      `the template was refused with status ${statusCode}: ${text}`,
    );
};

/** Starts the platform, an engine and a service; the teardown of the test stops them. */
export const startTestServers = async (
  t: ExecutionContext,
  options: EngineOptions = {},
): Promise<TestServers> => {
  const platform = createPlatform({
    fleetLagMs: 0,
    weightBytes: 1,
    weightBytesPerSecond: 1,
  });
  const platformServer = createPlatformServer(platform);
  const engine = new EngineSimulator({
    decodeMs: 1,
    heartbeatMs: 100,
    ...options,
  });
  const engineServer = createEngineServer(engine);
  const service = new ServiceSimulator('guide');
  const serviceServer = createServiceServer(service);
  const [platformAddress, engineAddress, serviceAddress] = await Promise.all(
    [platformServer, engineServer, serviceServer].map(server =>
      listen(server, '127.0.0.1', 0),
    ),
  );
  platform.fleet.replaceMembers([
    createMember('engine-1', 'engine', engineAddress ?? ''),
    createMember('guide-1', 'service', serviceAddress ?? ''),
  ]);
  t.teardown(async () => {
    engine.crash();
    await Promise.all(
      [platformServer, engineServer, serviceServer].map(server =>
        server.close(),
      ),
    );
  });
  return { engine, service, platformUrl: `http://${platformAddress ?? ''}` };
};

/** Starts the servers; the teardown of the test stops them and every daemon. The first daemon applies the template. */
export const startTestDeployment = async (
  t: ExecutionContext,
  options: EngineOptions = {},
): Promise<TestDeployment> => {
  const { engine, service, platformUrl } = await startTestServers(t, options);
  let isFirstDaemon = true;
  const startDaemon = async (name: string, graceMs = 30_000) => {
    const settings = createSettings(name, platformUrl, graceMs);
    const daemon = new Daemon(settings, new SilentLog());
    await daemon.start();
    t.teardown(() => daemon.stop());
    const addresses = daemon.kernel.get(listenerRegistryToken).listAddresses();
    const { caller = '', operator = '' } = addresses;
    if (isFirstDaemon) await applyTemplate(operator);
    isFirstDaemon = false;
    return { daemon, callerAddress: caller, operatorAddress: operator };
  };
  return { engine, service, startDaemon };
};
