/** Puts a stream out of order, as broken networks and clients do. */
import type { StreamItem } from '@medlarlever/core';

/** Doubles every third chunk and swaps neighbouring chunks. */
export async function* reorderChunks(
  items: AsyncIterable<StreamItem>,
): AsyncGenerator<StreamItem, void, undefined> {
  let held: StreamItem | undefined;
  for await (const item of items) {
    if (item.kind === 'chunk' && held === undefined) {
      held = item;
      continue;
    }
    yield item;
    if (held === undefined) continue;
    yield held;
    if (held.kind === 'chunk' && held.chunk.index % 3 === 0) yield held;
    held = undefined;
  }
  if (held !== undefined) yield held;
}
