export * from './elapsed.js';
export * from './pressure.js';
export * from './queue.js';
