/** Every generated trace by name. */
import {
  closingNight,
  shiftAndLoss,
  swingBack,
} from './style-desk-scenarios.js';
import type { Scenario } from './scenario.js';
import { voyageursDay } from './voyageurs-scenario.js';

export const scenarios: Readonly<Record<string, Scenario>> = {
  [closingNight.name]: closingNight,
  [voyageursDay.name]: voyageursDay,
  [swingBack.name]: swingBack,
  [shiftAndLoss.name]: shiftAndLoss,
};
