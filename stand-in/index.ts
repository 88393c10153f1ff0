export * from './behaviour.js';
export * from './server.js';
export * from './cuttable-link.js';
export * from './request-record.js';
