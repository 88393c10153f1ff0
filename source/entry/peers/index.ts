export * from './counts-exchange.js';
export * from './peer-exchange.js';
