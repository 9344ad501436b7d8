/** Random behaviour of the two peers of a gateway: backend servers that answer wrongly, and callers that read, send and leave at will. */
import fc from 'fast-check';

/** What a server does with one request. */
export interface ServerPlay {
	/** Whether it answers before it has read the request's body. */
	readonly isEarly: boolean;
	readonly delayMs: number;
	/** Bytes in front of the response. */
	readonly before: string;
	readonly status: string;
	readonly framing: 'length' | 'short-length' | 'long-length' | 'chunks' | 'nothing' | 'other-coding';
	readonly headers: readonly string[];
	readonly bodyBytes: number;
	readonly trailers: readonly string[];
	/** Bytes behind the response. */
	readonly surplus: string;
	/** Percentage of the bytes that are written. */
	readonly percent: number;
	readonly pieceBytes: number;
	/** What happens once the bytes are written. */
	readonly end: 'keep' | 'close' | 'reset' | 'close-later' | 'reset-later';
}

/** One request of a caller. */
export interface CallerRequest {
	readonly method: string;
	/** Target; `*` stands for the path that selects the server's play. */
	readonly target: string;
	readonly headers: readonly string[];
	readonly bodyBytes: number;
	readonly isChunked: boolean;
	/** Percentage of the request that is sent. */
	readonly percent: number;
	readonly server: ServerPlay;
}

/** What a caller does on one connection. */
export interface CallerPlay {
	readonly requests: readonly CallerRequest[];
	readonly isPipelining: boolean;
	readonly reading: 'fast' | 'slow' | 'late' | 'never';
	readonly leaveAfterMs: number;
	readonly leave: 'close' | 'reset' | 'half-close';
}

const ODD_HEADERS = [
	'x-high: \u0080\u00FF\u00E9',
	'x-utf8: \u00C4\u0080\u00E2\u0082\u00AC',
	'x-tab: a\tb',
	'x-empty:',
	'__proto__: x',
	'constructor: x',
	'x-null: a\u0000b',
	'x-control: a\u0001b',
	'connection: x-a, x-b',
	'keep-alive: timeout=0',
	'set-cookie: a=1',
	'date: x',
	'content-type: \u00FF',
	'trailer: x-t',
	'upgrade: h2c',
	'retry-after: 1',
	`x-long: ${'l'.repeat(8000)}`,
] as const;
const PATH = '*';

const BYTES_BEFORE = [
	'',
	'',
	'',
	'',
	'HTTP/1.1 103 Early Hints\r\n\r\n',
	'HTTP/1.1 100 Continue\r\n\r\n',
	'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n',
	'HTTP/1.1 199 \r\nx-high: \u00FF\r\n\r\n'.repeat(300),
	'nonsense\r\n\r\n',
	'\r\n\r\n',
	'\u0000',
] as const;
const STATUSES = [
	'000 Zero',
	'099 Low',
	'101 Switching Protocols',
	'204 None',
	'205 Reset',
	'304 Same',
	'500 Failed',
	'503 Full',
	'600 High',
	'999 Last',
	'200',
	`200 ${'r'.repeat(3000)}`,
	'200 \u00FF\u0080',
] as const;
const SERVER_HEADERS = [
	...ODD_HEADERS,
	'connection: close',
	'connection: close',
	'connection: keep-alive',
	'x-request-id: other',
	'transfer-encoding: gzip',
	'content-length: 5',
] as const;
const TARGETS = [
	`http://fleet.example${PATH}`,
	`https://[::1]:x${PATH}`,
	`//x${PATH}`,
	`${PATH}?\u00FF\u0080"<>{}|\\^`,
	`${PATH}#x`,
	`${PATH}/%00%zz/../..`,
	'fleet.example:80',
	'/',
	`${PATH}${'p'.repeat(9000)}`,
] as const;
const REQUEST_HEADERS = [
	...ODD_HEADERS,
	'connection: upgrade',
	'upgrade: websocket',
	'expect: 100-continue',
	'expect: other',
	'te: trailers',
	'host: other',
	'x-deadline-ms: 50',
	'x-deadline-ms: -1',
	'x-affinity-key: \u00FF',
	'connection: close',
	'content-length: 5',
	'transfer-encoding: gzip',
] as const;

const serverPlays: fc.Arbitrary<ServerPlay> = fc.record<ServerPlay>({
	isEarly: fc.boolean(),
	delayMs: fc.constantFrom(0, 0, 5, 60, 300),
	before: fc.constantFrom(...BYTES_BEFORE),
	status: fc.oneof({weight: 4, arbitrary: fc.constant('200 OK')}, {
		weight: 1, arbitrary: fc.constantFrom(...STATUSES),
	}),
	framing: fc.constantFrom('length', 'length', 'short-length', 'long-length', 'chunks', 'chunks', 'nothing', 'nothing', 'other-coding'),
	headers: fc.array(fc.constantFrom(...SERVER_HEADERS), {maxLength: 3}),
	bodyBytes: fc.constantFrom(0, 1, 1000, 57_000, 65_535, 65_536, 70_000, 140_000, 2_000_000),
	trailers: fc.constantFrom([], [], ['x-t: 1'], ['x-t: \u00FF', '__proto__: x']),
	surplus: fc.constantFrom('', '', '', 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok', 'x'.repeat(70_000)),
	percent: fc.constantFrom(100, 100, 100, 99, 50, 5, 0),
	pieceBytes: fc.constantFrom(4_000_000, 4_000_000, 65_536, 1500, 7),
	end: fc.constantFrom('keep', 'close', 'reset', 'close-later', 'reset-later'),
});

const callerRequests: fc.Arbitrary<CallerRequest> = fc.record<CallerRequest>({
	method: fc.oneof({weight: 8, arbitrary: fc.constantFrom('GET', 'POST')}, {
		weight: 1, arbitrary: fc.constantFrom('HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE', 'CONNECT', 'PRI', 'QUERY', 'M-SEARCH'),
	}),
	target: fc.oneof({weight: 8, arbitrary: fc.constant(PATH)}, {
		weight: 1, arbitrary: fc.constantFrom(...TARGETS),
	}),
	headers: fc.array(fc.constantFrom(...REQUEST_HEADERS), {maxLength: 2}),
	bodyBytes: fc.constantFrom(0, 0, 10, 66_000, 99_000, 120_000),
	isChunked: fc.boolean(),
	percent: fc.constantFrom(100, 100, 100, 100, 60, 99),
	server: serverPlays,
});

/** Draws what a caller does. */
export const callerPlays: fc.Arbitrary<CallerPlay> = fc.record<CallerPlay>({
	requests: fc.array(callerRequests, {minLength: 1, maxLength: 4}),
	isPipelining: fc.boolean(),
	reading: fc.constantFrom('fast', 'fast', 'slow', 'late', 'never'),
	leaveAfterMs: fc.constantFrom(0, 20, 100, 400, 1200),
	leave: fc.constantFrom('close', 'reset', 'half-close'),
});

/** Returns a request's target with the path that selects its server's play. */
export function toTarget({target, path}: {readonly target: string; readonly path: string}): string {
	return target.replace(PATH, path);
}
