export type * from './admitted-request.js';
export * from './claims.js';
export * from './quota-gate.js';
export type * from './request-context.js';
export * from './request-ids.js';
