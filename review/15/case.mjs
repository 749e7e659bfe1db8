/** A part of prompts crashes runners; it is followed by more than 24 others. */
import { playCrashingPart } from '../lib-3/crashing-part.mjs';
import { runCase } from '../lib-3/run-case.mjs';

runCase(import.meta.dirname, deployment =>
  playCrashingPart(deployment, { furtherParts: 28 }),
);
