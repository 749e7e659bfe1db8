import fc from 'fast-check';
import test from 'ava';

import {
  EventBoundary,
  ServerSentEventBuffer,
} from './server-sent-event-buffer.js';

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

// Guards against taking a stream up at each target in turn with a header that can't be sent.
test('a stream can not be taken up after an event whose id no header can name', t => {
  const eventBuffer = new ServerSentEventBuffer();
  eventBuffer.appendChunk(Buffer.from('id: 1\n\nid: a\u0001b\n\n'));
  t.is(eventBuffer.lastEventId, undefined);
  eventBuffer.appendChunk(Buffer.from('id: a\u007f\n\n'));
  t.is(eventBuffer.lastEventId, undefined);
  eventBuffer.appendChunk(Buffer.from('id: é 3\r\n\r\n'));
  t.is(eventBuffer.lastEventId, Buffer.from('é 3').toString('latin1'));
});

/** Counts the bytes that are joined, and so searched, while the function runs. */
const countJoinedBytes = (run: () => void): number => {
  const concat = Buffer.concat.bind(Buffer);
  let joinedBytes = 0;
  Buffer.concat = (...args) => {
    const joined = concat(...args);
    joinedBytes += joined.length;
    return joined;
  };
  try {
    run();
  } finally {
    Buffer.concat = concat;
  }
  return joinedBytes;
};

// Guards against an event loop that stands still because of an event without an end.
test('the work for an event in chunks of a byte grows with its length, not its square', t => {
  const eventBytes = 16 * 1024;
  const chunk = Buffer.from('x');
  for (const tracker of [new ServerSentEventBuffer(), new EventBoundary()]) {
    const joinedBytes = countJoinedBytes(() => {
      for (let i = 0; i < eventBytes; i += 1) tracker.appendChunk(chunk);
    });
    t.true(joinedBytes <= 4 * eventBytes, `${joinedBytes} bytes`);
  }
});

test('an event that is longer than the limit is reported once it is', t => {
  const limitBytes = 256 * 1024;
  for (const tracker of [new ServerSentEventBuffer(), new EventBoundary()]) {
    tracker.appendChunk(Buffer.alloc(limitBytes, 'x'));
    t.false(tracker.isOverlong);
    tracker.appendChunk(Buffer.from('x'));
    t.true(tracker.isOverlong);
  }
});
