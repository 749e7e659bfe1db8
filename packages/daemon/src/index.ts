/** The daemon as a module, for tests and for embedding a whole instance. */
export { Daemon } from './daemon.js';
export { listenerRegistryToken } from './kernel/tokens.js';
export { parseSettings } from './settings/load-settings.js';
export { settingsSchema } from './settings/settings.js';
export type { Settings } from './settings/settings.js';
