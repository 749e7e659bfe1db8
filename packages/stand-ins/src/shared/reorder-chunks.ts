/**
 * Reorders and duplicates the chunks of a stream, to test readers of streams.
 */
import type { StreamItem } from '@medlarlever/core';

/**
 * Swaps neighbouring chunks, and duplicates the held-back chunk of a pair when its
 * index is a multiple of three.
 */
export async function* reorderChunks(
  items: AsyncIterable<StreamItem>,
): AsyncGenerator<StreamItem, void, undefined> {
  let heldChunk: StreamItem | undefined;
  for await (const item of items) {
    if (item.kind === 'chunk' && heldChunk === undefined) {
      heldChunk = item;
      continue;
    }
    yield item;
    if (heldChunk === undefined) continue;
    yield heldChunk;
    if (heldChunk.kind === 'chunk' && heldChunk.chunk.index % 3 === 0)
      yield heldChunk;
    heldChunk = undefined;
  }
  if (heldChunk !== undefined) yield heldChunk;
}
