export * from './verdict.js';
