export * from './log.js';
export type * from './message.js';
export * from './replica.js';
export * from './membership.js';
export * from './quorum.js';
