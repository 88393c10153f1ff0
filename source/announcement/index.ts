export * from './announcement.js';
export * from './liveness-tracker.js';
export * from './registry.js';
export * from './server-key.js';
