export * from './byte-budget.js';
export * from './byte-collector.js';
export * from './byte-reservation.js';
export * from './discard.js';
