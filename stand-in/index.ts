export * from './behaviour.js';
export * from './server.js';
export * from './relay.js';
export * from './request-record.js';
