export * from './announcement-handler.js';
export * from './fleet.js';
export * from './prober.js';
export * from './queue-draining.js';
export * from './server-reports.js';
export * from './service-state.js';
export * from './service-hedging.js';
