export * from './table.js';
export * from './holder.js';
export * from './kept-permits.js';
export type * from './message.js';
export * from './renewal-pacing.js';
export * from './suspension.js';
export * from './unanswered-sheds.js';
