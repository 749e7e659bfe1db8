/** Tests of the block digests and the token estimate. */
import test from 'ava';

import { estimateTokens, digestPrefixBlocks } from './prefix-blocks.js';

const model = { name: 'style', version: '1' };
const blockText = 'x'.repeat(16_384);

test('a block digest depends on the model and on all text up to the end of the block', t => {
  const [first, second] = digestPrefixBlocks(
    model,
    blockText + blockText + 'rest',
  );
  t.deepEqual(digestPrefixBlocks(model, blockText), [first]);
  t.not(first, second);
  const other = digestPrefixBlocks(model, 'y' + blockText.slice(1) + blockText);
  t.not(other[1], second);
  t.not(digestPrefixBlocks({ ...model, adapter: 'fr' }, blockText)[0], first);
  t.deepEqual(digestPrefixBlocks(model, blockText.slice(1)), []);
  t.is(estimateTokens('abcde'), 2);
});
