import test from 'ava';

import { LimitStatement } from './limit-statement.js';

test('an answer that was on its way when the limit was named does not end it', t => {
  const statement = new LimitStatement();
  t.true(statement.recordLimit(2, 1_000));
  t.false(statement.recordNoLimit(900));
  t.is(statement.requestsPerSecond, 2);
  t.true(statement.recordNoLimit(1_100));
  t.is(statement.requestsPerSecond, undefined);
});

test('the newest answer decides, and only a changed limit is news', t => {
  const statement = new LimitStatement();
  t.true(statement.recordLimit(2, 1_000));
  t.false(statement.recordLimit(2, 1_200));
  t.false(statement.recordLimit(9, 1_100));
  t.is(statement.requestsPerSecond, 2);
  t.true(statement.recordLimit(0, 1_300));
  t.is(statement.requestsPerSecond, 0);
});

test('a peer ends a limit only with an observation that is clearly newer', t => {
  const statement = new LimitStatement();
  statement.recordLimit(2, 1_000);
  t.false(statement.recordNoLimitFromPeer(1_400));
  t.true(statement.recordNoLimitFromPeer(1_600));
});

test('an answer without a limit is no news of a target that has none', t => {
  t.false(new LimitStatement().recordNoLimit(1_000));
});
