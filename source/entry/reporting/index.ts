export * from './metrics.js';
export * from './request-log.js';
export * from './service-level-recorder.js';
