import test from 'ava';

import { createLossTable } from './loss-table.js';
import { readRequestLog } from './request-log.js';

const createLine = (atS: number, event: Record<string, unknown>) =>
  `  ${atS} instance-1 ${JSON.stringify({ event: 501, name: 'request_answered', route: 'short', outcome: 'answered', ...event })}`;

const targets = new Map([['short', 300]]);

test('each reason for which a request is late or lost is counted apart', t => {
  const lines = [
    createLine(1, { first_ms: 90, tokens: 300, expected_ms: 60 }),
    createLine(1, { first_ms: 700, tokens: 300, expected_ms: 500 }),
    createLine(1, {
      first_ms: 600,
      tokens: 300,
      prefill: 'p1',
      expected_ms: 100,
      read_ms: 500,
    }),
    createLine(3, {
      first_ms: 600,
      tokens: 300,
      prefill: 'p1',
      expected_ms: 100,
      read_ms: 110,
    }),
    createLine(3, { name: 'request_ended', outcome: 'caller_gone' }),
    createLine(3, { name: 'request_ended', outcome: 'caller_gone', sends: 1 }),
    createLine(3, { name: 'request_ended', outcome: 'overloaded' }),
  ];
  const { ends } = readRequestLog(lines);
  const { routes, spans } = createLossTable(ends, targets, 2);
  t.deepEqual(
    new Map(routes[0]?.reasons),
    new Map([
      ['in time', 1],
      ['late, as expected when it was placed', 1],
      ['late, prefill slower than expected', 1],
      ['late, after the prefill', 1],
      ['caller left before it was placed', 1],
      ['caller_gone', 1],
      ['overloaded', 1],
    ]),
  );
  t.deepEqual(
    spans.map(({ label, paths }) => [label, paths.length]),
    [
      ['0 s', 2],
      ['2 s', 1],
    ],
  );
});

test('lines that are cut off or of other events are passed over, and missing ones counted', t => {
  const { ends, droppedLines } = readRequestLog([
    createLine(1, { first_ms: 90 }).slice(0, -20),
    'not a line of a log',
    '  2 instance-1 {"name":"log_dropped","lines":4}',
    '  2 instance-1 {"name":"peer_heard"}',
    createLine(2, { first_ms: 90 }),
  ]);
  t.is(ends.length, 1);
  t.is(droppedLines, 4);
});
