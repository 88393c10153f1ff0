export * from './gauge.js';
export * from './log.js';
export * from './line-limit.js';
export * from './line-writer.js';
export * from './process-metrics.js';
export * from './traffic.js';
