/**
 * Leads the connections of a machine's process over links, as the routes of a network would: Node loads this before the program. The
 * variable `SOAK_ROUTES` holds the host and port of a link for each address, as JSON.
 */
const {Socket} = require('node:net');
const process = require('node:process');

const routes = JSON.parse(process.env.SOAK_ROUTES);
const {connect} = Socket.prototype;

Socket.prototype.connect = function (...parameters) {
	// `net.connect` passes its options in an array.
	const options = Array.isArray(parameters[0]) ? parameters[0][0] : parameters[0];
	Object.assign(options, routes[`${options.host}:${options.port}`]);
	return Reflect.apply(connect, this, parameters);
};
