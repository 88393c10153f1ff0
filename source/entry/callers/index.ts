export * from './body.js';
export * from './caller-connections.js';
export * from './caller-server.js';
export * from './counted-body.js';
export * from './paced-body.js';
export * from './response.js';
