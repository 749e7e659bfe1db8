import { EraTracker } from '@medlarlever/core';
import test from 'ava';
import { Right } from 'purify-ts';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { ChangeDistributor } from './change-distributor.js';
import { ChangeStream } from './change-stream.js';
import type { ChangePage } from './change-stream.js';

/** Change stream that returns the given pages one after the other. */
class ScriptedChangeStream extends ChangeStream {
  override readonly name = 'servers';
  callCount = 0;

  constructor(private readonly pages: ChangePage[]) {
    super();
  }

  override listRows() {
    return Promise.reject(new Error('not used'));
  }

  override waitForChanges() {
    this.callCount += 1;
    const page = this.pages.shift();
    return page === undefined
      ? Promise.reject(new Error('no page left'))
      : Promise.resolve(Right(page));
  }
}

const at = (version: number) => ({ era: 0, version });
const createPage = (version: number, ...keys: string[]): ChangePage => ({
  position: at(version),
  rows: keys.map(key => ({ key, version, value: Buffer.from('v') })),
});

const createDistributor = (members: readonly string[]) => {
  const sent: string[] = [];
  const distributor = new ChangeDistributor({
    listMembers: () => members,
    acceptsConfirmations: member => member !== 'earlier',
    eras: new EraTracker(),
    notifyMember: member => sent.push(member),
  });
  return { distributor, sent };
};

test('pages without rows are confirmed together, except to members of an earlier version', async t => {
  const { distributor, sent } = createDistributor(['m', 'earlier']);
  const stream = distributor.shareChangeStream(
    new ScriptedChangeStream([createPage(3), createPage(5)]),
  );
  await stream.waitForChanges(at(2), 0);
  await stream.waitForChanges(at(3), 0);
  t.deepEqual(sent, ['earlier', 'earlier']);
  const [confirmation, ...others] = distributor.takeConfirmations();
  t.deepEqual(confirmation?.after, at(2));
  t.deepEqual(confirmation?.position, at(5));
  t.deepEqual(others, []);
  t.deepEqual(distributor.takeConfirmations(), []);
});

test('a page with rows is sent at once, and no confirmation spans it', async t => {
  const { distributor, sent } = createDistributor(['m']);
  const stream = distributor.shareChangeStream(
    new ScriptedChangeStream([
      createPage(3),
      createPage(4, 'row'),
      createPage(6),
    ]),
  );
  await stream.waitForChanges(at(2), 0);
  await stream.waitForChanges(at(3), 0);
  t.deepEqual(sent, ['m']);
  await stream.waitForChanges(at(4), 0);
  const [confirmation] = distributor.takeConfirmations();
  t.deepEqual(confirmation?.after, at(4), 'a lost page is noticed');
});

test.serial(
  'a member that is told that nothing has changed queries the platform no sooner than one that gets pages',
  async t => {
    const clock = installPausedClock(t);
    const { distributor } = createDistributor([]);
    const platform = new ScriptedChangeStream([createPage(9, 'row')]);
    const stream = distributor.shareChangeStream(platform);
    const confirm = (after: number, version: number, ageMs: number) => {
      distributor.applyConfirmations([
        { table: 'servers', after: at(after), position: at(version), ageMs },
      ]);
    };
    confirm(2, 2, 0);
    const changes = stream.waitForChanges(at(2), 0);
    await clock.tickAsync(1_000);
    confirm(2, 2, 300);
    await clock.tickAsync(900);
    t.is(platform.callCount, 0);
    await clock.tickAsync(200);
    t.is(platform.callCount, 1, 'the age of what was said counts');
    t.true((await changes).isRight());
    confirm(3, 4, 0);
    await stream.waitForChanges(at(2), 0).catch(() => undefined);
    t.is(platform.callCount, 2, 'a gap is read from the platform');
  },
);
