/** The embeddable library: every part is usable alone. */
export * from './shared/result-codes.js';
export * from './shared/failure.js';
export * from './shared/events.js';
export * from './shared/log.js';
export * from './shared/time.js';
export * from './kernel/kernel.js';
export * from './table/table.js';
export * from './object-store/object-store.js';
export * from './fleet/fleet-list.js';
export * from './target/target.js';
export * from './peers/peer.js';
export * from './peers/peer-group.js';
export * from './membership/target-directory.js';
export * from './quarantine/quarantine.js';
export * from './limits/admission.js';
export * from './streams/generation-dispatcher.js';
export * from './ledger/service-dispatcher.js';
export * from './roles/role-policy.js';
export * from './config/template.js';
export * from './config/entitlement.js';
export * from './config/configuration-source.js';
// Ledger, quarantine, retries and metrics.
export * from './metrics/request-metrics.js';
