/** Tells which engines of a service have room for one request. */
import type { Prompt } from '../requests/relay-request.js';
import type { TargetState } from '../targets/target-state.js';

import { EngineRoom, maxReportLagMs } from './engine-room.js';
import type { EngineMemory } from './engine-room.js';
import type { EngineTurns } from './engine-turns.js';
import { createTokenDemand } from './held-tokens.js';
import type { TokenDemand } from './held-tokens.js';

/** Time for which a request holds its tokens, assumed before the first measurement. */
export const initialHoldMs = 4_000;

/** What an engine does for the request: `decode` includes a prefill on the same engine. */
export type EnginePhase = 'prefill' | 'decode';

/** Which engines have room for one request. */
export interface RoomCheck {
  readonly hasRoom: (target: TargetState, phase: EnginePhase) => boolean;
}

/** The request, the engines of its service and the state of this instance. */
export interface RoomCheckOptions {
  readonly targets: readonly TargetState[];
  readonly prompt: Prompt;
  /** Memory of one engine. */
  readonly capacityTokens: number;
  /** Mean tokens of a request of the service; undefined before the first. */
  readonly typicalTokens: number | undefined;
  /** Mean time for which a request holds its tokens; undefined before the first. */
  readonly holdMs: number | undefined;
  readonly turns: EngineTurns;
  /** False if every instance chooses the best of all engines. */
  readonly drawsSample: boolean;
}

/** Memory that a request takes in the phase, at most all of an engine. */
export const createPhaseDemand = (
  prompt: Prompt,
  phase: EnginePhase,
  capacityTokens: number,
): TokenDemand => {
  const maxOutputTokens = Math.max(0, capacityTokens - prompt.tokens);
  const outputTokens =
    phase === 'prefill' ? 0 : Math.min(maxOutputTokens, prompt.maxOutputTokens);
  return createTokenDemand(prompt, outputTokens);
};

const createEngineMemory = (
  target: TargetState,
  typicalTokens: number,
  turns: EngineTurns,
): EngineMemory => {
  const { heldTokens, reportedTokens } = target;
  const { tokens: ownTokens, recentTokens: recentOwnTokens } = heldTokens;
  const earlierOwnTokens = Math.max(0, ownTokens - recentOwnTokens);
  return {
    ownTokens,
    recentOwnTokens,
    otherTokens: reportedTokens.countTokens(typicalTokens),
    lowestRecentTokens:
      earlierOwnTokens + reportedTokens.countLowestTokens(typicalTokens),
    instancesAhead: turns.countAhead(target.record.id),
  };
};

const countEndingRequests = ({
  targets,
  holdMs = initialHoldMs,
}: RoomCheckOptions): number => {
  const running = targets.reduce(
    (sum, { activeRequestCount }) => sum + activeRequestCount,
    0,
  );
  return (running * maxReportLagMs) / Math.max(holdMs, maxReportLagMs);
};

/** Creates the check for the state of the engines at this moment. */
export const createRoomCheck = (options: RoomCheckOptions): RoomCheck => {
  const { targets, prompt, capacityTokens, turns, drawsSample } = options;
  const demands = {
    prefill: createPhaseDemand(prompt, 'prefill', capacityTokens),
    decode: createPhaseDemand(prompt, 'decode', capacityTokens),
  };
  const typicalTokens =
    options.typicalTokens ?? prompt.tokens + prompt.maxOutputTokens;
  const memories = new Map(
    targets.map(target => [
      target,
      createEngineMemory(target, typicalTokens, turns),
    ]),
  );
  const room = new EngineRoom([...memories.values()], {
    capacityTokens,
    typicalTokens,
    drawsSample,
    otherInstances: turns.otherInstances,
    endingRequests: countEndingRequests(options),
  });
  return {
    hasRoom: (target, phase) => {
      const memory = memories.get(target);
      return (
        memory !== undefined &&
        room.hasRoom(memory, target.heldTokens.countAddedTokens(demands[phase]))
      );
    },
  };
};
