import test from 'ava';

import { estimateTokens, digestPrefixBlocks } from './prefix-blocks.js';

const model = { name: 'style', version: '1' };
const blockText = 'x'.repeat(16_384);

test('a piece digest covers the model and everything before it', t => {
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
