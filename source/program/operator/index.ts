export * from './check-files.js';
export * from './drain-server.js';
export * from './environment-changes.js';
export * from './show.js';
