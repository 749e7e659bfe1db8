import * as fc from 'fast-check';
import test from 'ava';

import { measureSlice } from './input-slice.js';

/** Cuts the bytes into slices until nothing is left. */
const cut = (bytes: Buffer): string[] => {
  const slices: string[] = [];
  for (let rest = bytes; rest.length > 0;) {
    const { length } = measureSlice(rest);
    slices.push(rest.subarray(0, length).toString('latin1'));
    rest = rest.subarray(length);
  }
  return slices;
};

test('each head is a slice of its own', t => {
  const heads = [
    'GET /1 HTTP/1.1\r\nHost: a\r\n\r\n',
    'GET /2 HTTP/1.1\r\nHost: a\r\n\r\n',
  ];
  t.deepEqual(cut(Buffer.from(heads.join(''))), heads);
});

// Guards against heads whose lines end without a carriage return, which a parser may take.
test('a head is recognised by its empty line alone', t => {
  t.deepEqual(cut(Buffer.from('GET / HTTP/1.1\n\nrest')), [
    'GET / HTTP/1.1\n\n',
    'rest',
  ]);
});

// Guards against turns of the event loop that parse 64 KB of chunks of one byte.
test('small chunks are cut, and long ones are not', t => {
  const small = Buffer.alloc(6 * 10_000, '1\r\nx\r\n');
  t.true(measureSlice(small).length <= 6 * 32);
  const long = Buffer.alloc(64 * 1024, 'x');
  t.is(measureSlice(long).length, long.length);
});

test('the slices are the bytes, whatever these are', t => {
  const part = fc.oneof(
    fc.constantFrom('\r', '\n', '\r\n', '\r\n\r\n'),
    fc.string(),
  );
  fc.assert(
    fc.property(fc.array(part, { maxLength: 200 }), parts => {
      const bytes = Buffer.from(parts.join(''));
      return cut(bytes).join('') === bytes.toString('latin1');
    }),
  );
  t.pass();
});
