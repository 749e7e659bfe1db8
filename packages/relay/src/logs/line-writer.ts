/** Writes lines to a file descriptor without blocking and with bounded memory. */
import { fstatSync, write, writeSync } from 'node:fs';

/**
 * Maximum size of the lines that wait for a slow reader. Lines beyond that are
 * dropped and counted.
 */
const maxBufferedBytes = 256 * 1024;

/** Writes one buffer and calls `done` with the number of bytes written. */
export type ByteWriter = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Buffered bytes that are written without waiting for the end of the batch time. */
const fullBatchBytes = 32 * 1024;

/** Creates a writer that writes to a file descriptor on the thread pool. */
const createThreadPoolWriter =
  (descriptor: number): ByteWriter =>
  (bytes, done) => {
    write(descriptor, bytes, done);
  };

/** Creates a writer that writes to a file at once, which wakes no other thread. */
const createFileWriter =
  (descriptor: number): ByteWriter =>
  (bytes, done) => {
    try {
      done(null, writeSync(descriptor, bytes));
    } catch (error) {
      done(error instanceof Error ? error : new Error(String(error)), 0);
    }
  };

/** Writer for a file descriptor; the reader of a pipe may stop, a file has none. */
export const createDescriptorWriter = (descriptor: number): ByteWriter =>
  fstatSync(descriptor).isFile()
    ? createFileWriter(descriptor)
    : createThreadPoolWriter(descriptor);

/** Queues lines and writes them in batches; drops lines when the queue is full. */
export class LineWriter {
  #pendingLines: string[] = [];
  #bufferedBytes = 0;
  #isWriting = false;
  #droppedLines = 0;
  #batchTimer: NodeJS.Timeout | undefined;
  readonly #onIdle: (() => void)[] = [];

  /**
   * Lines wait up to `batchMs` for others, since each write wakes several threads.
   * They are not written before that if the process is killed.
   */
  constructor(
    private readonly writeBytes: ByteWriter,
    private readonly batchMs = 0,
  ) {}

  /** Number of lines dropped since the process started. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** Queues a line for writing. Returns false if the line was dropped. */
  writeLine(text: string): boolean {
    const bytes = text.length + 1;
    if (this.#bufferedBytes + bytes > maxBufferedBytes) {
      this.#droppedLines += 1;
      return false;
    }
    this.#pendingLines.push(text);
    this.#bufferedBytes += bytes;
    if (!this.#isWriting) this.#scheduleBatch();
    return true;
  }

  /** Resolves when all queued lines have been written or dropped. */
  flush(): Promise<void> {
    return new Promise(resolve => {
      this.#onIdle.push(resolve);
      if (!this.#isWriting) this.#writeNextBatch();
    });
  }

  #scheduleBatch(): void {
    if (this.batchMs === 0 || this.#bufferedBytes >= fullBatchBytes) {
      this.#writeNextBatch();
      return;
    }
    this.#batchTimer ??= setTimeout(() => {
      this.#writeNextBatch();
    }, this.batchMs);
  }

  #writeNextBatch(): void {
    clearTimeout(this.#batchTimer);
    this.#batchTimer = undefined;
    if (this.#pendingLines.length === 0) {
      this.#isWriting = false;
      for (const resolve of this.#onIdle.splice(0)) resolve();
      return;
    }
    this.#isWriting = true;
    const bytes = Buffer.from(`${this.#pendingLines.join('\n')}\n`);
    this.#pendingLines = [];
    this.#writeBuffer(bytes);
  }

  /**
   * Writes the buffer completely. Its bytes count as buffered until they are
   * written, so that the limit also applies when the reader has stopped.
   */
  #writeBuffer(bytes: Buffer): void {
    this.writeBytes(bytes, (error, written) => {
      if (error === null && written < bytes.length) {
        this.#bufferedBytes -= written;
        this.#writeBuffer(bytes.subarray(written));
        return;
      }
      this.#bufferedBytes = Math.max(0, this.#bufferedBytes - bytes.length);
      if (error !== null) this.#droppedLines += 1;
      this.#writeNextBatch();
    });
  }
}
