export * from './access.js';
export * from './key-digest.js';
export * from './request-rank.js';
export * from './workspace-index.js';
