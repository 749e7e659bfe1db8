/** Asks targets whether they answer; one question serves all who wait. */
import type { TargetState } from '../targets/target-state.js';

import type { LivenessCheck } from './send-watchdog.js';
import type { TargetClient } from './target-client.js';

export const createLivenessCheck = (client: TargetClient): LivenessCheck => {
  const asked = new Map<string, Promise<boolean>>();
  return (target: TargetState) => {
    const { record } = target;
    const running = asked.get(record.id);
    if (running !== undefined) return running;
    const answer = client.checkLiveness(record).finally(() => {
      asked.delete(record.id);
    });
    asked.set(record.id, answer);
    return answer;
  };
};
