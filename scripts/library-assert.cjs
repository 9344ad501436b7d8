// Stands in for `node:assert` in libraries of the bundle. For an assertion without a message, the runtime reads and parses the
// source to quote the expression that failed, which blocks the process for seconds when the whole bundle is one line.
const nodeAssert = require('node:assert');

const DEFAULT_MESSAGE = 'an assertion of a library failed';

function assert(value, message = DEFAULT_MESSAGE) {
	nodeAssert.ok(value, message);
}

module.exports = Object.assign(assert, nodeAssert, {ok: assert});
