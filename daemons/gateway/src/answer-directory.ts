/** Answers callers that ask which instances to connect to, and the platform that asks whether this one is ready. */
import type {RequestListener, ServerResponse} from 'node:http';
import type {LiveView} from '@pomelopick/calls.live';
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {CallCounters} from '@pomelopick/core.telemetry';
import {encodeDirectoryResponse, READINESS_PATH, parseDirectoryQuery} from '@pomelopick/platform.wire';
import {chooseDirectoryInstances} from '@pomelopick/steering.lookup';

/** Time for which callers keep an answer, in milliseconds. */
const TIME_TO_LIVE_MS = 2000;

/** Options of {@link createDirectory} and {@link createReadiness}. */
export interface DirectoryOptions {
	readonly view: LiveView;
	/** This instance's own record. */
	readonly self: InstanceRecord;
	/** Whether this instance takes requests. */
	readonly isReady: () => boolean;
	/** Longest time for which callers may keep an answer, in milliseconds. */
	readonly mostTimeToLiveMs: number;
	readonly counters: CallCounters;
}

/** Creates the directory. Without an instance to name it answers 503. */
export function createDirectory({view, self, isReady, mostTimeToLiveMs, counters}: DirectoryOptions): RequestListener {
	return (request, response) => {
		const question = parseDirectoryQuery(request.url ?? '');
		if (!question) {
			send({response, status: 404, body: '{}'});
			return;
		}

		const others = view.instances.list().filter(({id}) => id !== self.id);
		const instances = chooseDirectoryInstances({
			instances: isReady() ? [...others, self] : others,
			region: question.region,
			homeRegions: view.routes.ofHost(question.host).map(({homeRegions}) => homeRegions),
		});
		counters.add(instances.length === 0 ? 'directory.empty' : 'directory.answered');
		send(instances.length === 0 || !view.routeSet
			? {response, status: 503, body: '{}'}
			: {response, status: 200, body: encodeDirectoryResponse({endpoints: instances.map(({callers}) => callers), timeToLiveMs: Math.min(TIME_TO_LIVE_MS, mostTimeToLiveMs)})});
	};
}

/** Creates the answer to the platform's own check. */
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
