export * from './crash-reporter.js';
export * from './crash-tracker.js';
