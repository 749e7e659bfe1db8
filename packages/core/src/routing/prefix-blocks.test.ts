import test from 'ava';

import { estimateTokens, promptPieces } from './prefix-blocks.js';

const model = { name: 'style', version: '1' };
const piece = 'x'.repeat(16_384);

test('a piece digest covers the model and everything before it', t => {
  const [first, second] = promptPieces(model, piece + piece + 'rest');
  t.deepEqual(promptPieces(model, piece), [first]);
  t.not(first, second);
  const other = promptPieces(model, 'y' + piece.slice(1) + piece);
  t.not(other[1], second);
  t.not(promptPieces({ ...model, adapter: 'fr' }, piece)[0], first);
  t.deepEqual(promptPieces(model, piece.slice(1)), []);
  t.is(estimateTokens('abcde'), 2);
});
