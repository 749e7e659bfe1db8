import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { createTargetRecord } from '../fixtures/relay-fixtures.js';

import {
  SoftwareVersions,
  computeStreamLifetimeMs,
} from './software-versions.js';
import type { VersionHistory } from './software-versions.js';

const createRecord = (id: string, softwareVersion?: string) =>
  createTargetRecord(id, { softwareVersion });

const createHistory = (
  overrides: Partial<VersionHistory> = {},
): VersionHistory => ({
  knownForMs: 60_000,
  streamLifetimeMs: computeStreamLifetimeMs(),
  ...overrides,
});
const longKnown = createHistory();

test.serial(
  'one version is the only one once all targets were known for long',
  t => {
    installPausedClock(t);
    const versions = new SoftwareVersions();
    const records = [createRecord('t1', 'v1'), createRecord('t2', 'v1')];
    t.is(versions.findOnlyVersion('api', records, longKnown), 'v1');
    t.is(
      versions.findOnlyVersion(
        'api',
        records,
        createHistory({ knownForMs: 1_000 }),
      ),
      undefined,
    );
    t.is(versions.findOnlyVersion('other', records, longKnown), undefined);
  },
);

test.serial(
  'a version of a removed target counts while its streams may go on',
  t => {
    const clock = installPausedClock(t);
    const versions = new SoftwareVersions();
    const records = [createRecord('t1', 'v2')];
    versions.recordRemoval(createRecord('t0', 'v1'));
    t.is(versions.findOnlyVersion('api', records, longKnown), undefined);
    clock.tick(16_000);
    t.is(versions.findOnlyVersion('api', records, longKnown), 'v2');
  },
);

test.serial('a target without a version makes the version uncertain', t => {
  installPausedClock(t);
  const versions = new SoftwareVersions();
  const records = [createRecord('t1', 'v1'), createRecord('t2')];
  t.is(versions.findOnlyVersion('api', records, longKnown), undefined);
  t.is(
    versions.findOnlyVersion('api', [createRecord('t2')], longKnown),
    undefined,
  );
});

// After a kill of all instances, none remembers where streams began. A stream of a route
// with a long time may have begun before an instance that has run for 20 s started.
test.serial(
  'a version counts for as long as the routes let streams go on',
  t => {
    const clock = installPausedClock(t);
    const streamLifetimeMs = computeStreamLifetimeMs(20_000);
    t.true(streamLifetimeMs >= 2 * 20_000);
    const versions = new SoftwareVersions();
    const records = [createRecord('t1', 'v2')];
    const find = (knownForMs: number) =>
      versions.findOnlyVersion('api', records, {
        knownForMs,
        streamLifetimeMs,
      });
    t.is(find(20_000), undefined);
    versions.recordRemoval(createRecord('t0', 'v1'));
    clock.tick(20_000);
    t.is(find(longKnown.knownForMs), undefined);
    clock.tick(streamLifetimeMs);
    t.is(find(longKnown.knownForMs), 'v2');
  },
);
