export * from './document.js';
export * from './register.js';
export * from './update.js';
