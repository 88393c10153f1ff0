/** Replaces the tracing library in bundles. The metrics library uses it only for exemplars, which are disabled. */
module.exports = {};
