/** Writes lines to a file descriptor without ever blocking or growing. */
import { write } from 'node:fs';

/** Lines held while the reader is slow; later ones are dropped and counted. */
const maxBufferedBytes = 256 * 1024;

/** Writes one buffer; calls back with the bytes taken. */
export type ByteWriter = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/** Writes to a descriptor on the thread pool. */
export const createDescriptorWriter =
  (descriptor: number): ByteWriter =>
  (bytes, done) => {
    write(descriptor, bytes, done);
  };

export class LineWriter {
  #pendingLines: string[] = [];
  #bufferedBytes = 0;
  #isWriting = false;
  #droppedLines = 0;

  constructor(private readonly writeBytes: ByteWriter) {}

  /** Lines dropped so far. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  /** False when the line was dropped. */
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

  /** Held bytes count until they are written, so a stopped reader is noticed. */
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
