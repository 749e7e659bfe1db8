/** Public API for tests and for programs that run a daemon in their process. */
export { Daemon } from './daemon.js';
export { listenerRegistryToken } from './kernel/tokens.js';
export { parseSettings } from './settings/load-settings.js';
export { settingsSchema } from './settings/settings.js';
export type { Settings } from './settings/settings.js';
