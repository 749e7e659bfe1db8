import fc from 'fast-check';
import test from 'ava';

import { ServerSentEventBuffer } from './server-sent-event-buffer.js';

const stream = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n';

test('the buffer returns complete events wherever the stream is split', t => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: stream.length }), { maxLength: 8 }),
      offsets => {
        const boundaries = [0, ...offsets.sort((a, b) => a - b), stream.length];
        const eventBuffer = new ServerSentEventBuffer();
        let output = '';
        boundaries.slice(1).forEach((end, i) => {
          const chunk = Buffer.from(stream.slice(boundaries[i], end));
          output += eventBuffer.appendChunk(chunk).toString();
          if (!(output === '' || output.endsWith('\n\n')))
            throw new Error(output);
        });
        return output === stream && eventBuffer.lastEventId === '3';
      },
    ),
    { seed: 7, numRuns: 200 },
  );
  t.pass();
});

test('an incomplete event is buffered and can be taken out', t => {
  const eventBuffer = new ServerSentEventBuffer();
  t.is(
    eventBuffer.appendChunk(Buffer.from('id: 1\n\nid: 2\nda')).toString(),
    'id: 1\n\n',
  );
  t.is(eventBuffer.lastEventId, '1');
  t.is(eventBuffer.takeIncompleteEvent().toString(), 'id: 2\nda');
  t.is(eventBuffer.takeIncompleteEvent().toString(), '');
});
