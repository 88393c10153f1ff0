export * from './attempt.js';
export type * from './attempt-outcome.js';
export * from './connection-history.js';
export * from './discarded-answers.js';
export * from './headers.js';
export * from './load-querier.js';
export * from './pool.js';
export * from './server-request.js';
