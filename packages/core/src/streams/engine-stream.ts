/**
 * Reads one generation from one engine, in order and without gaps, through
 * silent and broken connections.
 */
import type { Log } from '../shared/log.js';
import { Failure } from '../shared/failure.js';
import type { Chunk, Engine, StreamEnd } from '../target/target.js';
import type { StreamItem } from '../target/target.js';

import type { ChunkBuffer } from './chunk-buffer.js';
import { ItemReader } from './item-reader.js';

export interface EngineStreamOptions {
  readonly engine: Engine;
  /** Id of the generation at the engine. */
  readonly id: string;
  /** Opens the first connection. */
  readonly openConnection: (signal: AbortSignal) => AsyncIterable<StreamItem>;
  readonly chunkBuffer: ChunkBuffer;
  readonly signal: AbortSignal;
  /** True when another incarnation has taken the engine's name. */
  readonly isReplaced: () => boolean;
  readonly log: Log;
  /** A stream without chunk or heartbeat for this long is silent. */
  readonly silenceTimeoutMs: number;
  readonly probeTimeoutMs: number;
}

/** How the engine's part in an answer ended. */
export type StreamOutcome =
  | { readonly kind: 'ended'; readonly end: StreamEnd }
  /** The process that ran it is gone. */
  | { readonly kind: 'crashed' }
  /** It cannot be reached, whether or not it runs. */
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'failed'; readonly failure: Failure }
  | { readonly kind: 'aborted' };

/** Why a connection is of no more use. */
type ConnectionOutcome =
  | StreamOutcome
  | { readonly kind: 'silent' }
  /** Chunks are missing, or fewer came than the end names. */
  | { readonly kind: 'incomplete'; readonly end: StreamEnd | undefined }
  | { readonly kind: 'broken'; readonly failure: Failure };

/** Connections in a row that may bring no chunk. */
const maxIdleConnections = 4;

/** Reads until the engine's part ends; resumes as often as it helps. */
export async function* readEngineStream(
  options: EngineStreamOptions,
): AsyncGenerator<Chunk, StreamOutcome> {
  const { engine, id, chunkBuffer: answer, log } = options;
  let { openConnection: open } = options;
  let idle = 0;
  for (let first = true; ; first = false) {
    const before = answer.nextIndex;
    const broken = yield* readConnection(options, open, first);
    idle = answer.nextIndex > before ? 0 : idle + 1;
    const outcome = await diagnoseConnection(options, broken, idle);
    if (outcome !== undefined) return outcome;
    log.writeEvent('stream_resumed', {
      engine: engine.name,
      id,
      why: broken.kind,
    });
    open = signal => engine.resumeStream(id, answer.nextIndex - 1, signal);
  }
}

/** Reads one connection to its end. */
async function* readConnection(
  {
    chunkBuffer: answer,
    signal,
    silenceTimeoutMs: silenceMs,
  }: EngineStreamOptions,
  open: EngineStreamOptions['openConnection'],
  first: boolean,
): AsyncGenerator<Chunk, ConnectionOutcome> {
  const reader = new ItemReader(open, signal);
  let end: StreamEnd | undefined;
  try {
    for (;;) {
      const result = await reader.readItem(silenceMs);
      if (result.kind === 'closed') return classifyClose(answer, end);
      if (result.kind !== 'item') return { kind: result.kind };
      const { item } = result;
      if (item.kind === 'chunk') yield* answer.acceptChunk(item.chunk);
      if (item.kind === 'end') end = item.end;
      if (item.kind === 'failure') return classifyFailure(item.failure, first);
      // What is missing when a heartbeat comes was sent before it and is lost.
      if (item.kind === 'heartbeat' && answer.hasGap) {
        return { kind: 'incomplete', end };
      }
      if (end !== undefined && isComplete(answer, end)) {
        return { kind: 'ended', end };
      }
    }
  } finally {
    reader.closeConnection();
  }
}

/** An end counts when every token that it names has come. */
const isComplete = (answer: ChunkBuffer, end: StreamEnd): boolean =>
  !answer.hasGap && answer.nextIndex >= end.outputTokens;

const classifyClose = (
  answer: ChunkBuffer,
  end: StreamEnd | undefined,
): ConnectionOutcome => {
  if (end === undefined)
    return { kind: 'broken', failure: createBrokenStreamFailure() };
  const kind = isComplete(answer, end) ? 'ended' : 'incomplete';
  return { kind, end };
};

const classifyFailure = (
  failure: Failure,
  first: boolean,
): ConnectionOutcome =>
  first && failure.executed === 'no'
    ? { kind: 'failed', failure }
    : { kind: 'broken', failure };

/** The outcome, or `undefined` when the stream is to be resumed. */
const diagnoseConnection = async (
  options: EngineStreamOptions,
  broken: ConnectionOutcome,
  idle: number,
): Promise<StreamOutcome | undefined> => {
  const resumable = idle <= maxIdleConnections;
  switch (broken.kind) {
    case 'silent':
      return diagnoseSilence(options, resumable);
    case 'broken':
      return diagnoseBreak(options, broken.failure, resumable);
    case 'incomplete':
      return diagnoseGap(options, broken.end, idle);
    default:
      return broken;
  }
};

/** Proves the engine on a new connection and drops those like the silent one. */
const diagnoseSilence = async (
  {
    engine,
    probeTimeoutMs: probeMs,
    isReplaced: replaced,
    signal,
  }: EngineStreamOptions,
  resumable: boolean,
): Promise<StreamOutcome | undefined> => {
  if (replaced()) return { kind: 'crashed' };
  const probe = await engine.probeHealth(probeMs);
  if (signal.aborted) return { kind: 'aborted' };
  if (probe.isLeft()) return { kind: 'unreachable' };
  engine.resetConnections();
  return resumable ? undefined : { kind: 'unreachable' };
};

/** A connection that broke off means a crash if the engine cannot be probed. */
const diagnoseBreak = async (
  {
    engine,
    probeTimeoutMs: probeMs,
    isReplaced: replaced,
    signal,
  }: EngineStreamOptions,
  failure: Failure,
  resumable: boolean,
): Promise<StreamOutcome | undefined> => {
  if (replaced() || failure.code === 'stream_not_found') {
    return { kind: 'crashed' };
  }
  const probe = await engine.probeHealth(probeMs);
  if (signal.aborted) return { kind: 'aborted' };
  if (probe.isLeft()) return { kind: 'crashed' };
  return resumable ? undefined : { kind: 'failed', failure };
};

/** An end with fewer chunks than tokens counts once a resume confirms it. */
const diagnoseGap = (
  { chunkBuffer: answer }: EngineStreamOptions,
  end: StreamEnd | undefined,
  idle: number,
): StreamOutcome | undefined => {
  if (end !== undefined && idle > 0 && !answer.hasGap) {
    return { kind: 'ended', end };
  }
  return idle > maxIdleConnections
    ? { kind: 'failed', failure: createBrokenStreamFailure() }
    : undefined;
};

const createBrokenStreamFailure = (): Failure =>
  new Failure('target_failed', 'the engine broke off the stream', {
    executed: 'unknown',
  });
