/** TCP socket of an HTTP client. */
import { Socket } from 'node:net';

/** The other side reset the connection. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError';
}

const resetCode = 'ECONNRESET';

const isResetError = (error: Error | undefined): boolean =>
  error !== undefined && 'code' in error && error.code === resetCode;

/**
 * Socket that shows undici an abrupt end as an error and a regular one only once undici can
 * take it. By itself, undici takes a reset for the regular end of an answer without a length,
 * and an end of the connection while it does not read makes an assertion fail that leaves the
 * request without an end.
 */
export class HttpSocket extends Socket {
  #hasEnded = false;
  #isReset = false;
  #resetsOnDestroy = false;

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk === null) {
      this.#hasEnded = true;
      // Node.js reports a reset that arrives together with data as a regular end, but the
      // socket then has no peer. It keeps the address once it was read, so not before.
      this.#isReset = this.remoteAddress === undefined;
    }
    return super.push(chunk, encoding);
  }

  /**
   * Reads what is buffered. The stream ends not with the last bytes but with the next call,
   * which undici makes once it reads again.
   */
  override read(size?: number): unknown {
    // The runtime's own call, which would end the stream although undici does not read.
    if (size === 0 && this.#hasEnded) return null;
    const buffered = Math.min(this.readableLength, this.readableHighWaterMark);
    const chunk: unknown = super.read(size ?? (buffered || undefined));
    if (this.#isReset && this.readableLength === 0)
      this.destroy(new ConnectionResetError('the connection was reset'));
    return chunk;
  }

  /**
   * Lets the connection end with a reset when the socket is destroyed, and the error of the
   * destruction be reported as before.
   */
  resetOnDestroy(): void {
    this.#resetsOnDestroy = true;
  }

  override destroy(error?: Error): this {
    const reported = isResetError(error)
      ? new ConnectionResetError(error?.message, { cause: error })
      : error;
    if (!this.#resetsOnDestroy) return super.destroy(reported);
    this.#resetsOnDestroy = false;
    this.resetAndDestroy();
    if (reported !== undefined)
      process.nextTick(() => {
        this.emit('error', reported);
      });
    return this;
  }
}
