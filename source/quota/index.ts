export * from './holder-report.js';
export * from './quota-account.js';
export type * from './quota-exchange.js';
export * from './quota-limits.js';
export * from './quota-message.js';
export type * from './quota-token.js';
export * from './quota-tokens.js';
export * from './token-holder.js';
