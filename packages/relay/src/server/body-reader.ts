/** Reads request bodies within limits on size, time and memory. */
import type { IncomingMessage } from 'node:http';

import { ByteBlocks, Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { waitForPendingReads } from '../shared/pending-reads.js';

/** Maximum number of body bytes buffered for all requests together. */
const maxBufferedBytes = 64 * 1024 * 1024;

/** Share of the process memory that bodies from callers may take, if that is less. */
const callerMemoryShare = 0.2;

const overloadRetryAfterMs = 500;

/** Limits for one request body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Maximum pause between two chunks of the body. */
  readonly maxPauseMs: number;
}

/** Reads bodies and counts the memory that they take, for all requests. */
export class BodyReader {
  #bufferedBytes = 0;

  /**
   * `getMemoryBytes` returns the memory limit of the process, if there is one; bodies may
   * take `memoryShare` of it.
   */
  constructor(
    private readonly getMemoryBytes: () => number | undefined = () => undefined,
    private readonly memoryShare = callerMemoryShare,
  ) {}

  get #maxBufferedBytes(): number {
    const memoryBytes = this.getMemoryBytes() ?? Infinity;
    return Math.min(maxBufferedBytes, memoryBytes * this.memoryShare);
  }

  /** Bytes of memory that bodies take at present. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Reads the whole body. After processing a body, the calling code must release
   * its bytes with {@link releaseBytes}.
   */
  readBody(
    message: IncomingMessage,
    limits: BodyLimits,
  ): Promise<Either<Failure, Buffer>> {
    return new Promise(resolve => {
      const body = new ByteBlocks();
      let reservedBytes = 0;
      let isFinished = false;
      const finish = (result: Either<Failure, Buffer>) => {
        // A message that ended closes as well, while its body is still in use.
        if (isFinished) return;
        isFinished = true;
        clearTimeout(timer);
        message.off('data', onData);
        this.releaseBytes(reservedBytes);
        result.ifRight(({ length }) => {
          this.#bufferedBytes += length;
        });
        resolve(result);
      };
      const onData = (chunk: Buffer) => {
        body.append(chunk);
        this.#bufferedBytes += body.allocatedBytes - reservedBytes;
        reservedBytes = body.allocatedBytes;
        timer.refresh();
        if (body.length > limits.maxBytes)
          finish(Left(createTooLargeFailure(limits.maxBytes)));
        else if (this.#bufferedBytes > this.#maxBufferedBytes)
          finish(Left(createOverloadedFailure(this.#maxBufferedBytes)));
      };
      const finishIfLate = async () => {
        const knownLength = body.length;
        await waitForPendingReads();
        if (body.length === knownLength) finish(Left(createTimeoutFailure()));
      };
      const timer = setTimeout(() => void finishIfLate(), limits.maxPauseMs);
      message.on('data', onData);
      message.once('end', () => {
        finish(Right(body.take()));
      });
      message.once('close', () => {
        finish(Left(createCallerGoneFailure()));
      });
    });
  }

  /** Releases the bytes of a body that has been processed. */
  releaseBytes(bytes: number): void {
    this.#bufferedBytes -= bytes;
  }
}

const createTooLargeFailure = (maxBytes: number) =>
  new Failure(
    'body_too_large',
    `the request body is longer than the limit of ${maxBytes} bytes`,
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
