/** Simulated platform, engines and services for tests and trials. */
export * from './platform/memory-table.js';
export * from './platform/memory-object-store.js';
export * from './platform/memory-fleet-list.js';
export * from './shared/deterministic-outputs.js';
export * from './engine/engine-settings.js';
export * from './engine/engine-simulator.js';
export * from './engine/fake-engine.js';
export * from './service/service-simulator.js';
export * from './service/fake-service.js';
export * from './engine/engine-server.js';
export * from './service/service-server.js';
export * from './platform/platform-server.js';
export * from './platform/weight-store.js';
export { listen } from './shared/fake-server.js';
export * from './peers/memory-network.js';
