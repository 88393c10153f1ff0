export * from './elapsed-estimate.js';
export * from './shortage-estimate.js';
export * from './wait-queue.js';
export * from './workspace-service.js';
export * from './admission-throttle.js';
export type * from './waiter.js';
export * from './lateness-estimate.js';
