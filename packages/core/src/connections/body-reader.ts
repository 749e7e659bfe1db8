/** Reads request bodies within limits on size, time and memory. */
import type { Readable } from 'node:stream';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { BlockPool } from '../shared/block-pool.js';
import { ByteBlocks } from '../shared/byte-blocks.js';
import { Failure } from '../shared/failure.js';
import { waitForPendingReads } from '../shared/pending-reads.js';

const overloadRetryAfterMs = 500;

/** Limits for one request body. */
export interface RequestBodyLimits {
  readonly maxBytes: number;
  /** Maximum pause between two chunks of the body. */
  readonly maxPauseMs: number;
}

/** What the reads of a {@link BodyReader} share. */
interface BodyMemory {
  readonly pool: BlockPool;
  /** Called when the read takes that many more bytes. */
  readonly onGrowth: (read: BodyRead, bytes: number) => void;
  /** Called once, when the read ends. */
  readonly onEnd: (read: BodyRead) => void;
}

/** A body that is being read. */
class BodyRead {
  readonly #blocks: ByteBlocks;
  readonly #timer: NodeJS.Timeout;
  #countedBytes = 0;
  #isFinished = false;

  constructor(
    private readonly message: Readable,
    private readonly limits: RequestBodyLimits,
    private readonly memory: BodyMemory,
    private readonly resolve: (result: Either<Failure, Buffer>) => void,
  ) {
    this.#blocks = new ByteBlocks(memory.pool);
    this.#timer = setTimeout(() => void this.#endIfLate(), limits.maxPauseMs);
    message.on('data', this.#append);
    message.once('end', () => {
      this.#end(() => Right(this.#blocks.take()));
    });
    // A message that ended closes as well, while its body is still in use.
    message.once('close', () => {
      this.refuse(createCallerGoneFailure());
    });
    message.once('error', () => {
      this.refuse(createCallerGoneFailure());
    });
  }

  /** Bytes of memory that the reader has been told of. */
  get countedBytes(): number {
    return this.#countedBytes;
  }

  /** Gives the body up; does nothing once it has been read. */
  refuse(failure: Failure): void {
    this.#end(() => {
      this.#blocks.clear();
      return Left(failure);
    });
  }

  #end(takeResult: () => Either<Failure, Buffer>): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    clearTimeout(this.#timer);
    this.message.off('data', this.#append);
    this.memory.onEnd(this);
    this.resolve(takeResult());
  }

  readonly #append = (chunk: Buffer): void => {
    this.#blocks.append(chunk);
    this.#timer.refresh();
    const { maxBytes } = this.limits;
    if (this.#blocks.length > maxBytes) {
      this.refuse(createTooLargeFailure(maxBytes));
      return;
    }
    const growth = this.#blocks.allocatedBytes - this.#countedBytes;
    if (growth === 0) return;
    this.#countedBytes += growth;
    this.memory.onGrowth(this, growth);
  };

  async #endIfLate(): Promise<void> {
    const { length } = this.#blocks;
    await waitForPendingReads();
    if (this.#blocks.length === length) this.refuse(createTimeoutFailure());
  }
}

/**
 * Reads bodies and counts the memory that they take, for all requests. If there is too little,
 * the body goes that has not grown for longest: clients that stop in the middle of theirs don't
 * shut out others.
 */
export class BodyReader {
  readonly #pool = new BlockPool();
  /** Bodies that are being read, the one that has not grown for longest first. */
  readonly #reads = new Set<BodyRead>();
  #bufferedBytes = 0;

  /** `getMaxBytes` returns the memory that all bodies together may take. */
  constructor(private readonly getMaxBytes: () => number) {}

  /** Bytes of memory that bodies take at present. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Reads the whole body. After processing a body, the calling code must release
   * its bytes with {@link releaseBytes}.
   */
  readBody(
    message: Readable,
    limits: RequestBodyLimits,
  ): Promise<Either<Failure, Buffer>> {
    return new Promise(resolve => {
      const read = new BodyRead(
        message,
        limits,
        { pool: this.#pool, onGrowth: this.#count, onEnd: this.#forget },
        result => {
          result.ifRight(({ length }) => {
            this.#bufferedBytes += length;
          });
          this.#pool.trim(this.getMaxBytes() - this.#bufferedBytes);
          resolve(result);
        },
      );
      this.#reads.add(read);
    });
  }

  /** Releases the bytes of a body that has been processed. */
  releaseBytes(bytes: number): void {
    this.#bufferedBytes -= bytes;
  }

  readonly #count = (read: BodyRead, bytes: number): void => {
    this.#bufferedBytes += bytes;
    this.#reads.delete(read);
    this.#reads.add(read);
    const maxBytes = this.getMaxBytes();
    for (const oldest of this.#reads) {
      if (this.#bufferedBytes <= maxBytes) return;
      oldest.refuse(createOverloadedFailure(maxBytes));
    }
  };

  readonly #forget = (read: BodyRead): void => {
    this.#reads.delete(read);
    this.#bufferedBytes -= read.countedBytes;
  };
}

const createTooLargeFailure = (maxBytes: number) =>
  new Failure(
    'body_too_large',
    `the request body is longer than ${maxBytes} bytes, which is the limit`,
  );

const createOverloadedFailure = (maxBytes: number) =>
  new Failure(
    'overloaded',
    `this instance buffers more than ${maxBytes} bytes of request bodies; retry later`,
    {
      retryAfterMs: overloadRetryAfterMs,
    },
  );

const createTimeoutFailure = () =>
  new Failure(
    'request_timeout',
    'the request body did not arrive in time; send it without long pauses',
  );

const createCallerGoneFailure = () =>
  new Failure(
    'caller_gone',
    'the caller disconnected before its request body was complete',
  );
