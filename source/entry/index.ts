export * from './dialect.js';
export * from './entry.js';
