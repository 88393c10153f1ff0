export * from './control.js';
export * from './departure.js';
export * from './driver.js';
export * from './http.js';
export * from './leader.js';
export * from './leadership.js';
export * from './machine.js';
export type * from './message.js';
export type {Api, ApiOptions} from './api.js';
