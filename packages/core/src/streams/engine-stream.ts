/**
 * Reads one generation from one engine as ordered chunks without gaps. Resumes
 * the stream on a new connection when a connection is silent or breaks off.
 */
import type { Log } from '../shared/log.js';
import { Failure } from '../shared/failure.js';
import type { Chunk, Engine, StreamEnd } from '../target/target.js';
import type { StreamItem } from '../target/target.js';

import type { ChunkBuffer } from './chunk-buffer.js';
import { ItemReader } from './item-reader.js';

export interface EngineStreamOptions {
  readonly engine: Engine;
  /** Id under which the engine runs the generation. */
  readonly id: string;
  /** Opens the first connection. */
  readonly openConnection: (signal: AbortSignal) => AsyncIterable<StreamItem>;
  readonly chunkBuffer: ChunkBuffer;
  readonly signal: AbortSignal;
  /** Returns whether another incarnation has taken the engine's name. */
  readonly isReplaced: () => boolean;
  readonly log: Log;
  /**
   * Milliseconds without a chunk or heartbeat after which a connection is
   * silent.
   */
  readonly silenceTimeoutMs: number;
  /** Time limit for a health probe on a new connection. */
  readonly probeTimeoutMs: number;
}

/** How the generation on one engine ended. */
export type StreamOutcome =
  | { readonly kind: 'ended'; readonly end: StreamEnd }
  /** The engine process that ran the generation has ended. */
  | { readonly kind: 'crashed' }
  /** The engine does not answer; the generation may still run. */
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'failed'; readonly failure: Failure }
  | { readonly kind: 'aborted' };

/** How one connection to the engine ended. */
type ConnectionOutcome =
  | StreamOutcome
  | { readonly kind: 'silent' }
  /** Chunks are missing, or fewer arrived than the end item counts. */
  | { readonly kind: 'incomplete'; readonly end: StreamEnd | undefined }
  | { readonly kind: 'broken'; readonly failure: Failure };

/** Maximum number of consecutive connections that deliver no chunk. */
const maxIdleConnections = 4;

/**
 * Yields the chunks and returns the outcome. Resumes the stream until more than
 * `maxIdleConnections` connections in a row deliver no chunk.
 */
export async function* readEngineStream(
  options: EngineStreamOptions,
): AsyncGenerator<Chunk, StreamOutcome> {
  const { engine, id, chunkBuffer, log } = options;
  let { openConnection } = options;
  let idleConnectionCount = 0;
  for (let isFirstConnection = true; ; isFirstConnection = false) {
    const previousIndex = chunkBuffer.nextIndex;
    const connectionOutcome = yield* readConnection(
      options,
      openConnection,
      isFirstConnection,
    );
    idleConnectionCount =
      chunkBuffer.nextIndex > previousIndex ? 0 : idleConnectionCount + 1;
    const outcome = await diagnoseConnection(
      options,
      connectionOutcome,
      idleConnectionCount,
    );
    if (outcome !== undefined) return outcome;
    log.writeEvent('stream_resumed', {
      engine: engine.name,
      id,
      why: connectionOutcome.kind,
    });
    openConnection = signal =>
      engine.resumeStream(id, chunkBuffer.nextIndex - 1, signal);
  }
}

/** Yields the chunks of one connection and returns how it ended. */
async function* readConnection(
  { chunkBuffer, signal, silenceTimeoutMs }: EngineStreamOptions,
  openConnection: EngineStreamOptions['openConnection'],
  isFirstConnection: boolean,
): AsyncGenerator<Chunk, ConnectionOutcome> {
  const reader = new ItemReader(openConnection, signal);
  let end: StreamEnd | undefined;
  try {
    for (;;) {
      const readResult = await reader.readItem(silenceTimeoutMs);
      if (readResult.kind === 'closed') return classifyClose(chunkBuffer, end);
      if (readResult.kind !== 'item') return { kind: readResult.kind };
      const { item } = readResult;
      if (item.kind === 'chunk') yield* chunkBuffer.acceptChunk(item.chunk);
      if (item.kind === 'end') end = item.end;
      if (item.kind === 'failure')
        return classifyFailure(item.failure, isFirstConnection);
      // The engine sends heartbeats after all earlier chunks, so a chunk that is
      // still missing when a heartbeat arrives is lost.
      if (item.kind === 'heartbeat' && chunkBuffer.hasGap) {
        return { kind: 'incomplete', end };
      }
      if (end !== undefined && isComplete(chunkBuffer, end)) {
        return { kind: 'ended', end };
      }
    }
  } finally {
    reader.closeConnection();
  }
}

/** True when every token that the end item counts has arrived. */
const isComplete = (chunkBuffer: ChunkBuffer, end: StreamEnd): boolean =>
  !chunkBuffer.hasGap && chunkBuffer.nextIndex >= end.outputTokens;

const classifyClose = (
  chunkBuffer: ChunkBuffer,
  end: StreamEnd | undefined,
): ConnectionOutcome => {
  if (end === undefined)
    return { kind: 'broken', failure: createBrokenStreamFailure() };
  const kind = isComplete(chunkBuffer, end) ? 'ended' : 'incomplete';
  return { kind, end };
};

const classifyFailure = (
  failure: Failure,
  isFirstConnection: boolean,
): ConnectionOutcome =>
  isFirstConnection && failure.executed === 'no'
    ? { kind: 'failed', failure }
    : { kind: 'broken', failure };

/** Returns the outcome, or `undefined` when the stream is to be resumed. */
const diagnoseConnection = async (
  options: EngineStreamOptions,
  connectionOutcome: ConnectionOutcome,
  idleConnectionCount: number,
): Promise<StreamOutcome | undefined> => {
  const canResume = idleConnectionCount <= maxIdleConnections;
  switch (connectionOutcome.kind) {
    case 'silent':
      return diagnoseSilence(options, canResume);
    case 'broken':
      return diagnoseBreak(options, connectionOutcome.failure, canResume);
    case 'incomplete':
      return diagnoseGap(options, connectionOutcome.end, idleConnectionCount);
    default:
      return connectionOutcome;
  }
};

/**
 * Probes the engine on a new connection. If the probe succeeds, closes all
 * existing connections, because others may be silent too.
 */
const diagnoseSilence = async (
  { engine, probeTimeoutMs, isReplaced, signal }: EngineStreamOptions,
  canResume: boolean,
): Promise<StreamOutcome | undefined> => {
  if (isReplaced()) return { kind: 'crashed' };
  const probe = await engine.probeHealth(probeTimeoutMs);
  if (signal.aborted) return { kind: 'aborted' };
  if (probe.isLeft()) return { kind: 'unreachable' };
  engine.resetConnections();
  return canResume ? undefined : { kind: 'unreachable' };
};

/** Treats a broken connection as a crash if the engine fails a probe. */
const diagnoseBreak = async (
  { engine, probeTimeoutMs, isReplaced, signal }: EngineStreamOptions,
  failure: Failure,
  canResume: boolean,
): Promise<StreamOutcome | undefined> => {
  if (isReplaced() || failure.code === 'stream_not_found') {
    return { kind: 'crashed' };
  }
  const probe = await engine.probeHealth(probeTimeoutMs);
  if (signal.aborted) return { kind: 'aborted' };
  if (probe.isLeft()) return { kind: 'crashed' };
  return canResume ? undefined : { kind: 'failed', failure };
};

/**
 * Decides what to do when the engine's end item counts more tokens than chunks
 * have arrived. The end is accepted once a resumed connection has delivered no
 * further chunk; until then the stream is resumed, and fails after more than
 * `maxIdleConnections` connections without a chunk.
 */
const diagnoseGap = (
  { chunkBuffer }: EngineStreamOptions,
  end: StreamEnd | undefined,
  idleConnectionCount: number,
): StreamOutcome | undefined => {
  if (end !== undefined && idleConnectionCount > 0 && !chunkBuffer.hasGap) {
    return { kind: 'ended', end };
  }
  return idleConnectionCount > maxIdleConnections
    ? { kind: 'failed', failure: createBrokenStreamFailure() }
    : undefined;
};

const createBrokenStreamFailure = (): Failure =>
  new Failure('target_failed', 'the engine closed the stream before its end', {
    executed: 'unknown',
  });
