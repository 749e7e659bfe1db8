import fc from 'fast-check';
import test from 'ava';

import { ServerSentEventBuffer } from './server-sent-event-buffer.js';

const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

test('whole events come out however the bytes are cut', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: stream.length }), { maxLength: 8 }),
      cuts => {
        const points = [0, ...cuts.sort((a, b) => a - b), stream.length];
        const blocks = new ServerSentEventBuffer();
        let out = '';
        points.slice(1).forEach((end, i) => {
          const piece = Buffer.from(stream.slice(points[i], end));
          out += blocks.appendChunk(piece).toString();
          if (!(out === '' || out.endsWith('\n\n'))) throw new Error(out);
        });
        return out === stream && blocks.lastEventId === '3';
      },
    ),
    { seed: 7, numRuns: 200 },
  );
  t.pass();
});

test('an unfinished event is kept back and can be dropped', t => {
  const blocks = new ServerSentEventBuffer();
  t.is(
    blocks.appendChunk(Buffer.from('id: 1\n\nid: 2\nda')).toString(),
    'id: 1\n\n',
  );
  t.is(blocks.lastEventId, '1');
  t.is(blocks.takeIncompleteEvent().toString(), 'id: 2\nda');
  t.is(blocks.takeIncompleteEvent().toString(), '');
});
