export * from './data-folder.js';
export * from './record.js';
export * from './store.js';
export * from './files.js';
