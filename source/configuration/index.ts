export * from './document.js';
export * from './register.js';
