export * from './file.js';
export * from './security.js';
export * from './settings.js';
