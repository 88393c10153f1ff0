export * from './request-entrance.js';
