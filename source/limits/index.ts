export * from './queue.js';
