export * from './elapsed-estimate.js';
export * from './shortage-estimate.js';
export * from './wait-queue.js';
