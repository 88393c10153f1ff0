export * from './announcement.js';
export * from './liveness-tracker.js';
export type * from './registered-server.js';
export * from './registry.js';
export * from './server-key.js';
