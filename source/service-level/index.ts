export * from './book.js';
export * from './counter.js';
export type * from './report.js';
