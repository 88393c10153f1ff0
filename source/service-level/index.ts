export * from './burn-rate-tracker.js';
export * from './counter.js';
export * from './report.js';
