export * from './request-dispatch.js';
