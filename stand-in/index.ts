export * from './behaviour.js';
export * from './server.js';
