/** Every generated trace by name. */
import {
  closingNightScenario,
  shiftAndLossScenario,
  swingBackScenario,
} from './style-desk-scenarios.js';
import type { TraceScenario } from './scenario.js';
import { voyageursDayScenario } from './voyageurs-scenario.js';

export const traceScenarios: Readonly<Record<string, TraceScenario>> = {
  [closingNightScenario.name]: closingNightScenario,
  [voyageursDayScenario.name]: voyageursDayScenario,
  [swingBackScenario.name]: swingBackScenario,
  [shiftAndLossScenario.name]: shiftAndLossScenario,
};
