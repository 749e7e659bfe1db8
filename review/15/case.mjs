/** A part of prompts crashes runners; it is followed by more than 24 others. */
import { playCrashingPart } from '../lib-3/crashing-part.mjs';
import { runCase } from '../lib-3/run-case.mjs';

/** False if the case is to be run without its disruption. */
const hasTrouble = process.env.TROUBLE !== '0';

runCase(import.meta.dirname, deployment =>
  playCrashingPart(deployment, { hasTrouble, furtherParts: 28 }),
);
