/** One run of a request on one engine, counted and reported. */
import type { RunPermit } from '../quarantine/quarantine.js';
import type { Route } from '../routing/router.js';
import type { Chunk, GenerationTask } from '../target/target.js';

import type { ChunkBuffer } from './chunk-buffer.js';
import { readEngineStream } from './engine-stream.js';
import type { StreamOutcome } from './engine-stream.js';
import type { GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';

export interface EngineAttempt {
  readonly context: StreamContext;
  readonly request: GenerationRequest;
  readonly generation: GenerationTask;
  readonly route: Route;
  readonly prefixBlocks: readonly string[];
  readonly permit: RunPermit;
  readonly chunkBuffer: ChunkBuffer;
  readonly signal: AbortSignal;
  /** Passes a chunk on; false ends the attempt. */
  readonly onChunk: (chunk: Chunk) => Promise<boolean>;
}

/** Runs the attempt; the quarantine and the load book know of its end. */
export const runAttempt = async (
  attempt: EngineAttempt,
): Promise<StreamOutcome> => {
  const { context, permit: passage, request, route } = attempt;
  const { engine } = route;
  const left = context.inFlightRequests.addRequest(engine, request.fingerprint);
  try {
    if (passage.isIsolated) await passage.reserveTarget(engine.name);
    const outcome = await relayChunks(attempt);
    if (outcome.kind === 'crashed') {
      context.options.log.writeEvent('target_crashed', { target: engine.name });
      await context.inFlightRequests.reportCrash(engine);
    } else {
      passage.release();
    }
    return outcome;
  } finally {
    left();
  }
};

const relayChunks = async (attempt: EngineAttempt): Promise<StreamOutcome> => {
  const dispatch = recordDispatch(attempt);
  const stream = openEngineStream(attempt);
  try {
    for (;;) {
      const result = await stream.next();
      if (result.done === true) return result.value;
      dispatch.markPrefilled();
      if (!(await attempt.onChunk(result.value))) return { kind: 'aborted' };
    }
  } finally {
    dispatch.markEnded();
    await stream.return({ kind: 'aborted' });
  }
};

/** Counts the dispatch in everything that later choices rest on. */
const recordDispatch = ({
  context,
  prefixBlocks: pieces,
  request,
  route,
}: EngineAttempt) => {
  const {
    loadEstimator: book,
    dispatchNotifier: news,
    prefixIndex: prefixes,
  } = context.options;
  const { priority } = request.entitlement.ranking;
  const { engine, prefillTokens } = route;
  news?.addDispatch(engine.name, prefillTokens);
  prefixes.recordDispatch(engine.name, pieces);
  return book.recordDispatch(engine.name, { prefillTokens, priority });
};

const openEngineStream = (attempt: EngineAttempt) => {
  const { chunkBuffer: answer, context, generation, route, signal } = attempt;
  const { engine } = route;
  return readEngineStream({
    engine,
    id: generation.id,
    openConnection: connection => engine.generate(generation, connection),
    chunkBuffer: answer,
    signal,
    isReplaced: () => context.isReplaced(engine),
    log: context.options.log,
    silenceTimeoutMs: context.settings.silence_ms,
    probeTimeoutMs: context.settings.probe_ms,
  });
};
