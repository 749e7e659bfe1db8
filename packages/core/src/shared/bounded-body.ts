/**
 * Reads bodies that another process sends. Their length is that process's choice, so each
 * read stops at a limit.
 */

import { ByteBlocks } from './byte-blocks.js';

/** Bytes that bodies which are being read may take in memory together. */
export class BodyMemory {
  #usedBytes = 0;

  constructor(private readonly maxBytes: number) {}

  /** Reserves the bytes if they fit. */
  tryReserve(bytes: number): boolean {
    if (this.#usedBytes + bytes > this.maxBytes) return false;
    this.#usedBytes += bytes;
    return true;
  }

  /** Gives back reserved bytes. */
  release(bytes: number): void {
    this.#usedBytes -= bytes;
  }
}

/** Limits of one read. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Shared by reads that may run at the same time. */
  readonly memory?: BodyMemory;
}

/** A body that is longer than may be read. */
export class OversizedBodyError extends Error {
  override readonly name = 'OversizedBodyError';
}

const createOversizedError = (maxBytes: number): OversizedBodyError =>
  new OversizedBodyError(`the body is longer than ${maxBytes} bytes`);

/**
 * Reads the whole body. Throws an {@link OversizedBodyError} once it exceeds a limit, and
 * closes the connection on which it arrives.
 */
export const readBoundedBytes = async (
  body: AsyncIterable<unknown>,
  { maxBytes, memory }: BodyLimits,
): Promise<Buffer> => {
  const blocks = new ByteBlocks();
  let reservedBytes = 0;
  try {
    // Leaving the loop with an error destroys the body and with it the connection.
    for await (const chunk of body) {
      blocks.append(chunk as Buffer);
      if (blocks.length > maxBytes) throw createOversizedError(maxBytes);
      const addedBytes = blocks.allocatedBytes - reservedBytes;
      if (memory?.tryReserve(addedBytes) === false)
        throw new OversizedBodyError(
          'the bodies that are being read take all memory kept for them',
        );
      reservedBytes += addedBytes;
    }
    return blocks.take();
  } finally {
    memory?.release(reservedBytes);
  }
};

/** Reads the whole body as UTF-8 text; see {@link readBoundedBytes}. */
export const readBoundedText = async (
  body: AsyncIterable<unknown>,
  limits: BodyLimits,
): Promise<string> => (await readBoundedBytes(body, limits)).toString('utf8');
