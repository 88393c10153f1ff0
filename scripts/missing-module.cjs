/** Replaces optional modules in bundles, since a single executable cannot load native modules. Throws like a module that is not installed. */
throw new Error('optional module is not included in the bundle');
