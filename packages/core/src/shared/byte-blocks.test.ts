import * as fc from 'fast-check';
import test from 'ava';

import { ByteBlocks } from './byte-blocks.js';

const maxContentBytes = 300_000;
/** Size of the first block, which a few bytes take as a whole. */
const firstBlockBytes = 1_024;

test('the bytes come back in order, whatever their parts', t => {
  const parts = fc.array(fc.uint8Array({ maxLength: 3_000 }), {
    maxLength: 60,
  });
  fc.assert(
    fc.property(parts, arrays => {
      const blocks = new ByteBlocks();
      for (const part of arrays) blocks.append(Buffer.from(part));
      const expected = Buffer.concat(arrays);
      return (
        blocks.length === expected.length && blocks.take().equals(expected)
      );
    }),
  );
  t.pass();
});

// Guards against small parts that take many times their length.
for (const partBytes of [1, 16, 64, 1_024, 16_384, 100_000])
  test(`parts of ${partBytes} bytes take no more than twice their length`, t => {
    const blocks = new ByteBlocks();
    const part = Buffer.alloc(partBytes, 'x');
    while (blocks.length < maxContentBytes) {
      blocks.append(part);
      const limit = Math.max(firstBlockBytes, 2 * blocks.length);
      if (blocks.allocatedBytes > limit)
        t.fail(`${blocks.allocatedBytes} bytes for ${blocks.length}`);
    }
    t.is(blocks.take().length % partBytes, 0);
    t.is(blocks.allocatedBytes, 0);
  });

test('bytes that were taken are not changed by later ones', t => {
  const blocks = new ByteBlocks();
  blocks.append(Buffer.from('first'));
  const first = blocks.take();
  blocks.append(Buffer.from('other'));
  t.is(first.toString(), 'first');
  t.is(blocks.take().toString(), 'other');
});
