export * from './control.js';
export * from './driver.js';
export * from './http.js';
export * from './leader-request-handler.js';
export * from './leadership.js';
export * from './planned-stop.js';
export * from './state-machine.js';
export type * from './message.js';
export type {Api, ApiOptions} from './api.js';
