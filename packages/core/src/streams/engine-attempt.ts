/** One run of a request on one engine, counted and reported. */
import type { Passage } from '../quarantine/quarantine.js';
import type { Route } from '../routing/router.js';
import type { Chunk, Generation } from '../target/target.js';

import type { AnswerText } from './chunk-buffer.js';
import { readEngineStream } from './engine-stream.js';
import type { StreamOutcome } from './engine-stream.js';
import type { GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';

export interface EngineAttempt {
  readonly context: StreamContext;
  readonly request: GenerationRequest;
  readonly generation: Generation;
  readonly route: Route;
  readonly pieces: readonly string[];
  readonly passage: Passage;
  readonly answer: AnswerText;
  readonly signal: AbortSignal;
  /** Passes a chunk on; false ends the attempt. */
  readonly onChunk: (chunk: Chunk) => Promise<boolean>;
}

/** Runs the attempt; the quarantine and the load book know of its end. */
export const runOnEngine = async (
  attempt: EngineAttempt,
): Promise<StreamOutcome> => {
  const { context, passage, request, route } = attempt;
  const { engine } = route;
  const left = context.inFlight.add(engine, request.fingerprint);
  try {
    if (passage.isolated) await passage.reserve(engine.name);
    const outcome = await relay(attempt);
    if (outcome.kind === 'crashed') {
      context.options.log.event('target_crashed', { target: engine.name });
      await context.inFlight.crashed(engine);
    } else {
      passage.release();
    }
    return outcome;
  } finally {
    left();
  }
};

const relay = async (attempt: EngineAttempt): Promise<StreamOutcome> => {
  const dispatch = countDispatch(attempt);
  const stream = openStream(attempt);
  try {
    for (;;) {
      const result = await stream.next();
      if (result.done === true) return result.value;
      dispatch.prefilled();
      if (!(await attempt.onChunk(result.value))) return { kind: 'aborted' };
    }
  } finally {
    dispatch.end();
    await stream.return({ kind: 'aborted' });
  }
};

/** Counts the dispatch in everything that later choices rest on. */
const countDispatch = ({ context, pieces, request, route }: EngineAttempt) => {
  const { book, news, prefixes } = context.options;
  const { priority } = request.entitlement.ranking;
  const { engine, prefillTokens } = route;
  news?.add(engine.name, prefillTokens);
  prefixes.dispatched(engine.name, pieces);
  return book.dispatched(engine.name, { prefillTokens, priority });
};

const openStream = (attempt: EngineAttempt) => {
  const { answer, context, generation, route, signal } = attempt;
  const { engine } = route;
  return readEngineStream({
    engine,
    id: generation.id,
    open: connection => engine.generate(generation, connection),
    answer,
    signal,
    replaced: () => context.replaced(engine),
    log: context.options.log,
    silenceMs: context.settings.silence_ms,
    probeMs: context.settings.probe_ms,
  });
};
