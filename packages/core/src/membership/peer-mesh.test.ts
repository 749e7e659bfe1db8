/** Tests of the links to instances whose messages are odd. */
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Peer } from '../peers/peer.js';
import type { Failure } from '../shared/failure.js';
import { MemoryLog } from '../shared/log.js';

import type { InstanceRecord } from './instance-record.js';
import { InstanceRegistry } from './instance-registry.js';
import { PeerMesh } from './peer-mesh.js';

const createRecord = (name: string, address: string): InstanceRecord => ({
  name,
  dataCenter: 'a',
  incarnation: `${name}-1`,
  address,
  state: 'live',
  revision: 0,
  startedAtMs: 0,
  version: 0,
});

/** Gives the same answer to each call. */
class AnsweringPeer extends Peer {
  constructor(
    readonly name: string,
    readonly address: string,
    readonly incarnation: string,
    private readonly answer: () => unknown,
  ) {
    super();
  }

  readonly dataCenter = 'a';

  override callMethod(): Promise<Either<Failure, unknown>> {
    return Promise.resolve(Right(this.answer()));
  }

  override sendNotification(): void {
    // No test sends any.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Runs a mesh whose peers give the answer; `refusedAddress` can't be connected to. */
const startMesh = (
  t: ExecutionContext,
  answer: () => unknown,
  refusedAddress?: string,
) => {
  const clock = FakeTimers.install({ now: 0 });
  const registry = new InstanceRegistry(createRecord('one', '10.0.0.1:1'));
  const log = new MemoryLog();
  const contacted: string[] = [];
  const mesh = new PeerMesh({
    registry,
    log,
    random: () => 0.5,
    listSeedAddresses: () => ['10.0.0.2:1', refusedAddress ?? '10.0.0.2:1'],
    connectPeer: ({ name, address, incarnation }) => {
      if (address === refusedAddress) throw new TypeError('Invalid URL');
      contacted.push(address);
      return new AnsweringPeer(name, address, incarnation, answer);
    },
  });
  void mesh.maintainUntilStopped();
  t.teardown(async () => {
    await mesh.stop();
    clock.uninstall();
  });
  return { clock, registry, log, contacted, mesh };
};

test.serial(
  'an instance that can not be connected to does not end the search for the others',
  async t => {
    const refusedAddress = '10.0.0.3:1';
    const { clock, contacted } = startMesh(t, () => null, refusedAddress);
    await clock.tickAsync(5_500);
    t.true(contacted.length >= 5, String(contacted.length));
  },
);

test.serial(
  'an odd record of an instance in a message does not hide the others',
  async t => {
    const two = createRecord('two', '10.0.0.2:1');
    const three = createRecord('three', '10.0.0.3:1');
    const odd = [
      createRecord('odd', '10.0.0.4:65536'),
      { ...createRecord('odd', '10.0.0.4:1'), version: 1e308 },
      null,
    ];
    const { clock, registry } = startMesh(t, () => ({
      self: two,
      records: [...odd, three],
      position: 1,
    }));
    await clock.tickAsync(2_500);
    t.deepEqual(
      registry.listInstances().map(({ name }) => name),
      ['one', 'two', 'three'],
    );
  },
);

test.serial(
  'an instance that answers heartbeats with odd messages is suspected',
  async t => {
    const two = createRecord('two', '10.0.0.2:1');
    let answer: unknown = { self: two, records: [], position: 1 };
    const { clock, registry } = startMesh(t, () => answer);
    await clock.tickAsync(2_500);
    t.is(registry.findInstance('two')?.state, 'live');
    answer = { self: {}, position: 'x' };
    await clock.tickAsync(8_000);
    t.is(registry.findInstance('two')?.state, 'suspected');
    answer = { self: two, records: [], position: 2 };
    await clock.tickAsync(3_000);
    t.is(registry.findInstance('two')?.state, 'live');
  },
);
