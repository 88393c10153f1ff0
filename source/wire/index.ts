export * from './dialer.js';
export * from './frame.js';
export type * from './link.js';
export * from './listen.js';
export * from './listener.js';
