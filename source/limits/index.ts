export * from './elapsed-estimate.js';
export * from './pressure.js';
export * from './queue.js';
