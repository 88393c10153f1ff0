export * from './announcement.js';
export * from './presence.js';
export * from './registry.js';
