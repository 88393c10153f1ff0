export * from './router.js';
