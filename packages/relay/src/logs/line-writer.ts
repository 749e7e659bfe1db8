/** Writes lines to a file descriptor without blocking and with bounded memory. */
import { write } from 'node:fs';

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

/** Creates a writer that writes to a file descriptor on the thread pool. */
export const createDescriptorWriter =
  (descriptor: number): ByteWriter =>
  (bytes, done) => {
    write(descriptor, bytes, done);
  };

/** Queues lines and writes them in batches; drops lines when the queue is full. */
export class LineWriter {
  #pendingLines: string[] = [];
  #bufferedBytes = 0;
  #isWriting = false;
  #droppedLines = 0;

  constructor(private readonly writeBytes: ByteWriter) {}

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
    if (!this.#isWriting) this.#writeNextBatch();
    return true;
  }

  #writeNextBatch(): void {
    if (this.#pendingLines.length === 0) {
      this.#isWriting = false;
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
