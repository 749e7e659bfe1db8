/** The scenarios of all generated traces. */
import {
  closingNightScenario,
  shiftAndLossScenario,
  swingBackScenario,
} from './style-desk-scenarios.js';
import type { TraceScenario } from './scenario.js';
import { voyageursDayScenario } from './voyageurs-scenario.js';

/** Scenarios by the trace name that commands accept. */
export const traceScenarios: Readonly<Record<string, TraceScenario>> = {
  [closingNightScenario.name]: closingNightScenario,
  [voyageursDayScenario.name]: voyageursDayScenario,
  [swingBackScenario.name]: swingBackScenario,
  [shiftAndLossScenario.name]: shiftAndLossScenario,
};
