/** Callers that send reads and bookings at a steady rate. */
import {call} from './caller.js';
import {HOST} from './deployment.js';

/** Time between two requests to one gateway, in milliseconds. */
const INTERVAL_MS = 75;
const OBJECTS = 40;

/** Sends a read, or as each fourth request a booking. */
async function sendNext({
	gateway, record, count, readPrefix,
}) {
	const isBooking = count % 4 === 0;
	const object = String(count % OBJECTS);
	return call({
		gateway, record, host: HOST, path: `${isBooking ? '/book/' : readPrefix}${object}`, headers: {'x-affinity-key': object}, ...(isBooking && {method: 'POST', body: 'salt'}),
	});
}

/** Sends requests to each gateway in turn until it is stopped. */
export function startCallers({gateways, record, readPrefix = '/stock/'}) {
	const pending = new Set();
	let count = 0;
	const timer = setInterval(async () => {
		count += 1;
		const sent = sendNext({
			gateway: gateways[count % gateways.length], record, count, readPrefix,
		});
		pending.add(sent);
		await sent;
		pending.delete(sent);
	}, INTERVAL_MS / gateways.length);
	return {
		async stop() {
			clearInterval(timer);
			await Promise.all(pending);
		},
	};
}
