/** Field lines of responses that HTTP/1 does not have (RFC 9112, section 5). */

/** Lines whose name is no token, that have no name, or that have no colon. */
export const malformedFields: readonly string[] = [
	'x y: 1',
	'x\ty: 1',
	'x\u0000y: 1',
	'x\u0001y: 1',
	'x\u000By: 1',
	'x\u007Fy: 1',
	'x\u00E9y: 1',
	'x\ry: 1',
	'x\r: 1',
	' x: 1',
	': 1',
	'x',
	'content-length : 1',
	'transfer-encoding : chunked',
	'transfer encoding: chunked',
	'content length: 1',
];
