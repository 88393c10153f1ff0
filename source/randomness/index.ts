export * from './randomness.js';
