/** The rule about cold servers: what they bear, and how many requests they got in one second. */
import {bounds} from './gateway.js';
import {WARMUP_PER_S} from './configuration.js';

const SECOND_MS = 1000;
/** Requests in one second that a cold server may get. */
export const MOST_ALLOWED = (WARMUP_PER_S * bounds['warmup-overage']) + bounds['warmup-slack'];
/** Multiple of them that crashes it. */
const CRASH_FACTOR = 1.5;

/** Whether a run crashes its server, which is cold: with it, the server got far more than it bears. */
export function crashesWhenCold({run, runs}) {
	const inSecond = runs.filter(({isCold, atMs}) => isCold && atMs > run.atMs - SECOND_MS).length;
	return run.isCold && inSecond > MOST_ALLOWED * CRASH_FACTOR && `cold, and ${inSecond} requests in one second`;
}

/** Checks the servers of a case, and records what they got while they were cold; returns whether the rule held. */
export function checkColdServers({servers, clients, record}) {
	const sentAtMs = new Map(clients.calls.map(call => [call.requestId, call.sentAtMs]));
	let most = 0;
	for (const {id, runs} of servers) {
		const cold = runs.filter(({isCold}) => isCold);
		// Counted are requests that were sent and arrived inside the second.
		for (const fromMs of cold.map(({requestId}) => sentAtMs.get(requestId))) {
			const inSecond = cold.filter(({requestId, atMs}) => sentAtMs.get(requestId) >= fromMs && atMs < fromMs + SECOND_MS);
			most = Math.max(most, inSecond.length);
		}

		record.line(`${id}: got ${cold.length} requests while it was cold`);
	}

	const ran = new Set(servers.flatMap(({runs}) => runs.map(({requestId}) => requestId)));
	const lost = clients.calls.filter(({requestId, method, status}) => method === 'POST' && ran.has(requestId) && status !== 200);
	record.line(`a cold server got at most ${most} requests in one second; ${MOST_ALLOWED} are allowed`);
	record.line(`bookings that a server began to run and that were not answered with success: ${lost.length}`);
	return most <= MOST_ALLOWED;
}
