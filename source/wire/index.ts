export * from './dialer.js';
export * from './frame.js';
export * from './link-coding.js';
export type * from './link.js';
export * from './link-failure-log.js';
export * from './listen.js';
export * from './listener.js';
export * from './message-boundary.js';
export * from './message-check.js';
