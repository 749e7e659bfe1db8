/** Runs a request on one engine and records the dispatch and any crash. */
import type { RunPermit } from '../quarantine/quarantine.js';
import type { Route } from '../routing/router.js';
import type { Chunk, GenerationTask } from '../target/target.js';

import type { ChunkBuffer } from './chunk-buffer.js';
import { readEngineStream } from './engine-stream.js';
import type { StreamOutcome } from './engine-stream.js';
import type { GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';

/** Input of one attempt to run a request on an engine. */
export interface EngineAttempt {
  readonly context: StreamContext;
  readonly request: GenerationRequest;
  /** The part of the request that this attempt generates. */
  readonly generation: GenerationTask;
  readonly route: Route;
  /** Digests of the prompt's prefix blocks. */
  readonly prefixBlocks: readonly string[];
  readonly permit: RunPermit;
  readonly chunkBuffer: ChunkBuffer;
  readonly signal: AbortSignal;
  /** Delivers a chunk to the caller; a result of false ends the attempt. */
  readonly onChunk: (chunk: Chunk) => Promise<boolean>;
}

/**
 * Runs the attempt until the engine stream ends. Reports a crash to the
 * quarantine; after any other outcome the permit is released.
 */
export const runAttempt = async (
  attempt: EngineAttempt,
): Promise<StreamOutcome> => {
  const { context, permit, request, route } = attempt;
  const { engine } = route;
  const removeRequest = context.inFlightRequests.addRequest(
    engine,
    request.fingerprint,
  );
  try {
    if (permit.isIsolated) await permit.reserveTarget(engine.name);
    const outcome = await relayChunks(attempt);
    if (outcome.kind === 'crashed') {
      context.options.log.writeEvent('target_crashed', { target: engine.name });
      await context.inFlightRequests.reportCrash(engine);
    } else {
      permit.release();
    }
    return outcome;
  } finally {
    removeRequest();
  }
};

const relayChunks = async (attempt: EngineAttempt): Promise<StreamOutcome> => {
  const dispatchRecord = recordDispatch(attempt);
  const stream = openEngineStream(attempt);
  try {
    for (;;) {
      const readResult = await stream.next();
      if (readResult.done === true) return readResult.value;
      dispatchRecord.markPrefilled();
      if (!(await attempt.onChunk(readResult.value)))
        return { kind: 'aborted' };
    }
  } finally {
    dispatchRecord.markEnded();
    await stream.return({ kind: 'aborted' });
  }
};

/** Updates the load and cache estimates that the router uses. */
const recordDispatch = ({
  context,
  prefixBlocks,
  request,
  route,
}: EngineAttempt) => {
  const { loadEstimator, dispatchNotifier, prefixIndex } = context.options;
  const { priority } = request.entitlement.ranking;
  const { engine, prefillTokens } = route;
  dispatchNotifier?.addDispatch(engine.name, prefillTokens);
  prefixIndex.recordDispatch(engine.name, prefixBlocks);
  return loadEstimator.recordDispatch(engine.name, { prefillTokens, priority });
};

const openEngineStream = (attempt: EngineAttempt) => {
  const { chunkBuffer, context, generation, route, signal } = attempt;
  const { engine } = route;
  return readEngineStream({
    engine,
    id: generation.id,
    openConnection: connectionSignal =>
      engine.generate(generation, connectionSignal),
    chunkBuffer,
    signal,
    isReplaced: () => context.isReplaced(engine),
    log: context.options.log,
    silenceTimeoutMs: context.settings.silence_ms,
    probeTimeoutMs: context.settings.probe_ms,
  });
};
