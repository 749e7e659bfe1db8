/**
 * Bounds what an instance holds for callers that read slowly. The relay reads on from a
 * target while its caller does not read, since targets cut off answers that stay unread.
 */
import type { Log } from '@medlarlever/core';

/** Unread bytes up to which the relay reads on for one caller. */
export const maxCallerBytes = 256 * 1024;

/** Share of the process memory that unread answers may take. */
const bufferMemoryShare = 0.1;

/** A stream with fewer unread bytes gives way only if no other one has more. */
const minFreedBytes = 16 * 1024;

/** Answer of which a part has not been read by its caller. */
export interface BufferedAnswer {
  /** Bytes held for the caller at present. */
  readonly bufferedBytes: number;
  /** True if the caller can take the stream up again after its last event. */
  readonly isResumable: boolean;
  /** Id of the request, for the log. */
  readonly requestId: string;
  /** Ends the answer and frees its bytes. */
  readonly giveWay: () => void;
}

type AnswerSize = Pick<BufferedAnswer, 'bufferedBytes' | 'isResumable'>;

/**
 * Chooses the answer that gives way when the buffers of the instance are full: a stream
 * that may be resumed, which costs its caller least, and then the largest.
 */
export const chooseAnswerToEnd = <T extends AnswerSize>(
  answers: readonly T[],
): T | undefined => {
  const useful = answers.filter(
    ({ bufferedBytes }) => bufferedBytes >= minFreedBytes,
  );
  const resumable = useful.filter(({ isResumable }) => isResumable);
  const candidates =
    [resumable, useful].find(({ length }) => length > 0) ?? answers;
  let chosen: T | undefined;
  for (const answer of candidates) {
    if (answer.bufferedBytes > (chosen?.bufferedBytes ?? -1)) chosen = answer;
  }
  return chosen;
};

/** Options of {@link CallerBuffers}. */
export interface CallerBuffersOptions {
  /** Memory limit of the process; undefined if the relay does not read on. */
  readonly getMemoryBytes: () => number | undefined;
  readonly log: Log;
}

/** Counts the unread bytes of all answers of an instance. */
export class CallerBuffers {
  readonly #options: CallerBuffersOptions;
  /** Bytes of each answer, as last counted. */
  readonly #bytesByAnswer = new Map<BufferedAnswer, number>();
  #totalBytes = 0;
  #givenWayCount = 0;

  constructor(options: CallerBuffersOptions) {
    this.#options = options;
  }

  /** Unread bytes of all answers. */
  get totalBytes(): number {
    this.#recount();
    return this.#totalBytes;
  }

  /** Answers that were ended because the buffers were full. */
  get givenWayCount(): number {
    return this.#givenWayCount;
  }

  /** True if the relay reads on for callers that read slowly. */
  get isEnabled(): boolean {
    return this.#options.getMemoryBytes() !== undefined;
  }

  /** Counts the bytes of the answer after a write; ends answers if they are too many. */
  update(answer: BufferedAnswer): void {
    const memoryBytes = this.#options.getMemoryBytes();
    if (memoryBytes === undefined) return;
    this.#count(answer);
    const maxBytes = memoryBytes * bufferMemoryShare;
    if (this.#totalBytes <= maxBytes) return;
    this.#recount();
    while (this.#totalBytes > maxBytes) {
      const chosen = chooseAnswerToEnd([...this.#bytesByAnswer.keys()]);
      if (chosen === undefined) return;
      this.#end(chosen);
    }
  }

  #end(answer: BufferedAnswer): void {
    const bytes = this.#bytesByAnswer.get(answer) ?? 0;
    this.#bytesByAnswer.delete(answer);
    this.#totalBytes -= bytes;
    this.#givenWayCount += 1;
    this.#options.log.writeEvent('answer_gave_way', {
      request: answer.requestId,
      bytes,
      resumable: answer.isResumable,
    });
    answer.giveWay();
  }

  #recount(): void {
    for (const answer of this.#bytesByAnswer.keys()) this.#count(answer);
  }

  #count(answer: BufferedAnswer): void {
    const { bufferedBytes } = answer;
    this.#totalBytes += bufferedBytes - (this.#bytesByAnswer.get(answer) ?? 0);
    if (bufferedBytes === 0) this.#bytesByAnswer.delete(answer);
    else this.#bytesByAnswer.set(answer, bufferedBytes);
  }
}
