export * from './book.js';
export * from './counter.js';
export * from './report.js';
