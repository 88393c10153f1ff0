export * from './book.js';
export * from './holder.js';
export type * from './message.js';
export * from './suspension.js';
