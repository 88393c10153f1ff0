/** Stands for the tracing library, of which the metrics library makes use only for exemplars, which are off here. */
module.exports = {};
