/**
 * Sends notifications to one peer as lines on one connection. An HTTP exchange for each
 * notification costs both instances several times as much processor time as the
 * notification itself, and instances that serve requests send each other hundreds a second.
 */
import type { Duplex } from 'node:stream';

import { Client } from 'undici';

/** Protocol to which the connection changes: one JSON-RPC notification a line. */
export const notificationProtocol = 'json-rpc-lines';

/** Path of the request that opens a stream. */
export const notificationPath = '/rpc-notifications';

/** A stream is opened for notifications that follow each other at least this closely. */
const frequentIntervalMs = 1_000;

/** A stream without notifications for this long is closed. */
const idleTimeoutMs = 10_000;

const openTimeoutMs = 1_000;

/** Pause after a failed attempt, for example at a peer that knows no streams. */
const retryDelayMs = 2_000;

/**
 * Time without a sign of the receiver after which the connection counts as silent. The
 * receiver acknowledges what it has read within `acknowledgementDelayMs`.
 */
const silenceTimeoutMs = 1_500;
export const acknowledgementDelayMs = 400;

/** A peer that leaves this much unread is behind or gone. */
const maxUnreadBytes = 256 * 1024;

/** Address of the peer, and headers that identify this instance. */
export interface NotificationStreamOptions {
  /** `host:port` */
  readonly address: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** Keeps at most one connection, which it opens again after a failure. */
export class NotificationStream {
  #socket: Duplex | undefined;
  #isOpening = false;
  #isClosed = false;
  #nextAttemptAtMs = 0;
  #lastSentAtMs = -Infinity;
  /** Monotonic time of the first notification that is not acknowledged. */
  #unacknowledgedSinceMs: number | undefined;
  #idleTimer: NodeJS.Timeout | undefined;

  constructor(private readonly options: NotificationStreamOptions) {}

  /** Sends the text, one line; false if no connection is open, which may be opened now. */
  trySend(text: string): boolean {
    const nowMs = performance.now();
    const isFrequent = nowMs - this.#lastSentAtMs <= frequentIntervalMs;
    this.#lastSentAtMs = nowMs;
    if (this.#isSilent(nowMs)) this.#drop();
    const socket = this.#socket;
    if (socket === undefined) {
      if (isFrequent) void this.#open(nowMs);
      return false;
    }
    socket.write(`${text}\n`);
    this.#unacknowledgedSinceMs ??= nowMs;
    return true;
  }

  /** Closes the connection for good. */
  close(): void {
    this.#isClosed = true;
    this.#drop();
  }

  #isSilent(nowMs: number): boolean {
    if (this.#socket === undefined) return false;
    const sinceMs = this.#unacknowledgedSinceMs ?? nowMs;
    return (
      nowMs - sinceMs > silenceTimeoutMs ||
      this.#socket.writableLength > maxUnreadBytes
    );
  }

  async #open(nowMs: number): Promise<void> {
    if (this.#isOpening || this.#isClosed || nowMs < this.#nextAttemptAtMs)
      return;
    this.#isOpening = true;
    const client = new Client(`http://${this.options.address}`);
    const timeout = new AbortController();
    const timer = setTimeout(() => {
      timeout.abort();
    }, openTimeoutMs);
    try {
      const { socket } = await client.upgrade({
        path: notificationPath,
        protocol: notificationProtocol,
        headers: [...this.options.headers],
        signal: timeout.signal,
      });
      this.#use(socket);
    } catch {
      // Notifications go on as single requests, whose failures are noticed as such.
      this.#nextAttemptAtMs = performance.now() + retryDelayMs;
      void client.destroy();
    } finally {
      clearTimeout(timer);
      this.#isOpening = false;
    }
  }

  #use(socket: Duplex): void {
    const end = () => {
      socket.destroy();
      if (this.#socket === socket) this.#drop();
    };
    socket.on('error', end).on('end', end).on('close', end);
    if (this.#isClosed) {
      end();
      return;
    }
    socket.on('data', () => {
      this.#unacknowledgedSinceMs = undefined;
    });
    this.#socket = socket;
    this.#unacknowledgedSinceMs = undefined;
    this.#scheduleIdleCheck();
  }

  #scheduleIdleCheck(): void {
    this.#idleTimer = setTimeout(() => {
      if (performance.now() - this.#lastSentAtMs >= idleTimeoutMs) this.#drop();
      else this.#scheduleIdleCheck();
    }, idleTimeoutMs);
    this.#idleTimer.unref();
  }

  #drop(): void {
    clearTimeout(this.#idleTimer);
    const socket = this.#socket;
    this.#socket = undefined;
    this.#unacknowledgedSinceMs = undefined;
    socket?.destroy();
  }
}
