/** Serves the directory, which tells callers which instances to connect to, and the platform's readiness check. */
import type {RequestListener, ServerResponse} from 'node:http';
import type {LiveView} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {CallCounters} from '@pomelopick/core.telemetry';
import {encodeDirectoryResponse, READINESS_PATH, parseDirectoryQuery} from '@pomelopick/platform.wire';
import {chooseDirectoryInstances, SharedAddresses} from '@pomelopick/steering.lookup';

/** Time for which callers may cache a response, in milliseconds. */
const TIME_TO_LIVE_MS = 2000;

/** Options of {@link createDirectory} and {@link createReadiness}. */
export interface DirectoryOptions {
	readonly view: LiveView;
	/** Record of this instance. */
	readonly self: InstanceRecord;
	/** Whether this instance is full, which its record may state later. */
	readonly isFull: () => boolean;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Whether this instance takes requests. */
	readonly isReady: () => boolean;
	/** Upper bound of the time for which callers may cache a response, in milliseconds. */
	readonly maxTimeToLiveMs: number;
	readonly counters: CallCounters;
}

/** Creates the request listener of the directory. It responds with status 503 while there is no instance or no configuration. */
export function createDirectory({view, self, isFull, isReady, maxTimeToLiveMs, counters, now}: DirectoryOptions): RequestListener {
	const sharedAddresses = new SharedAddresses();
	const timeToLiveMs = Math.min(TIME_TO_LIVE_MS, maxTimeToLiveMs);
	return (request, response) => {
		const query = parseDirectoryQuery(request.url ?? '');
		if (!query) {
			send({response, status: 404, body: '{}'});
			return;
		}

		const others = view.instances.list().filter(({id}) => id !== self.id);
		const instances = chooseDirectoryInstances({
			instances: isReady() ? [...others, {...self, isFull: isFull()}] : others,
			region: query.region,
			callerKey: sharedAddresses.callerKey({
				address: request.socket.remoteAddress ?? '', port: request.socket.remotePort ?? 0, question: `${query.region} ${query.host}`, timeToLiveMs, nowMs: now(),
			}),
			homeRegions: view.routes.ofHost(query.host).map(({homeRegions}) => homeRegions),
		});
		counters.add(instances.length === 0 ? 'directory.empty' : 'directory.answered');
		send(instances.length === 0 || !view.routeSet
			? {response, status: 503, body: '{}'}
			: {response, status: 200, body: encodeDirectoryResponse({endpoints: instances.map(({callers}) => callers), timeToLiveMs})});
	};
}

/** Creates the request listener of the platform's readiness check. */
export function createReadiness({isReady}: Pick<DirectoryOptions, 'isReady'>): RequestListener {
	return (request, response) => {
		const isCheck = request.url?.split('?')[0] === READINESS_PATH;
		send({response, status: isCheck ? (isReady() ? 200 : 503) : 404, body: '{}'});
	};
}

function send({response, status, body}: {readonly response: ServerResponse; readonly status: number; readonly body: string}): void {
	response.writeHead(status, {'content-type': 'application/json', 'content-length': String(body.length)});
	response.end(body);
}
