import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { createTargetRecord } from '../fixtures/relay-fixtures.js';

import { SoftwareVersions } from './software-versions.js';

const createRecord = (id: string, softwareVersion?: string) =>
  createTargetRecord(id, { softwareVersion });

const longMs = 60_000;

test.serial(
  'one version is the only one once all targets were known for long',
  t => {
    installPausedClock(t);
    const versions = new SoftwareVersions();
    const records = [createRecord('t1', 'v1'), createRecord('t2', 'v1')];
    t.is(versions.findOnlyVersion('api', records, longMs), 'v1');
    t.is(versions.findOnlyVersion('api', records, 1_000), undefined);
    t.is(versions.findOnlyVersion('other', records, longMs), undefined);
  },
);

test.serial(
  'a version of a removed target counts while its streams may go on',
  t => {
    const clock = installPausedClock(t);
    const versions = new SoftwareVersions();
    const records = [createRecord('t1', 'v2')];
    versions.recordRemoval(createRecord('t0', 'v1'));
    t.is(versions.findOnlyVersion('api', records, longMs), undefined);
    clock.tick(16_000);
    t.is(versions.findOnlyVersion('api', records, longMs), 'v2');
  },
);

test.serial('a target without a version makes the version uncertain', t => {
  installPausedClock(t);
  const versions = new SoftwareVersions();
  const records = [createRecord('t1', 'v1'), createRecord('t2')];
  t.is(versions.findOnlyVersion('api', records, longMs), undefined);
  t.is(
    versions.findOnlyVersion('api', [createRecord('t2')], longMs),
    undefined,
  );
});
