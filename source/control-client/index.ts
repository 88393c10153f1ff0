export * from './client.js';
export * from './directory.js';
