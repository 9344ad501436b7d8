/** Creates and wires the parts that bound the uploads of all instances to one backend server. */
import type {RequestListener} from 'node:http';
import type {InstanceRecord, LiveView} from '@pomelopick/calls.live';
import {
	createReleaseListener, createReservationListener, FleetUploads, UploadClient, UploadUse,
} from '@pomelopick/calls.uploads';
import type {UploadRequest} from '@pomelopick/calls.uploads';
import {RefusalLog} from '@pomelopick/core.telemetry';
import type {CallCounters, DecisionLog} from '@pomelopick/core.telemetry';
import type {BackendServerName, CodedError} from '@pomelopick/core.types';
import {uploadBound, UploadReservations} from '@pomelopick/steering.quotas';
import type {UploadOutcome} from '@pomelopick/steering.quotas';
import type {QuotaShards} from './quota-shards.js';

/** Options of {@link createUploads}. */
export interface CreateUploadsOptions {
	readonly self: Pick<InstanceRecord, 'id'>;
	/** Number of this process of the instance. */
	readonly process: number;
	readonly view: LiveView;
	/** Who owns which shard. */
	readonly shards: Pick<QuotaShards, 'ownerships' | 'findOwner' | 'readClock'>;
	readonly counters: CallCounters;
	readonly log: DecisionLog;
}

/** The parts that are used from outside. */
export interface UploadParts {
	/** Reserves the bytes of an upload at the owner of its server's shard. Never rejects. */
	readonly reserve: FleetUploads['reserve'];
	/** Handles the requests of other instances for reservations. */
	readonly handleReservations: RequestListener;
	/** Handles the releases of other instances. */
	readonly handleReleases: RequestListener;
	/** Must be called at each interval, before due writes about shards. */
	readonly step: () => void;
	/** Must be called when another configuration became active. */
	readonly updateConfiguration: () => void;
	/** Bytes that are reserved here, by server. */
	readonly listReservedBytes: () => ReadonlyMap<BackendServerName, number>;
	readonly stop: () => void;
}

/** Returns whether the active configuration has a route for uploads. */
export function hasUploadRoute({routeSet}: Pick<LiveView, 'routeSet'>): boolean {
	return routeSet?.routes.some(({isUpload}) => isUpload) ?? false;
}

/** Creates the parts. Nothing is sent while there are no uploads. */
export function createUploads({self, process, view, shards, counters, log}: CreateUploadsOptions): UploadParts {
	const now = (): number => shards.readClock();
	const reservations = new UploadReservations({ownerships: shards.ownerships});
	const client = new UploadClient();
	const refusals = new RefusalLog({log, now});
	/** Longest timeout of an upload route in any configuration so far, in milliseconds, as reservations outlast a change. */
	let longestMs = 0;
	const findBound = (server: BackendServerName): number | undefined => {
		const slots = view.servers.findEntry(server)?.server.slots;
		return slots === undefined ? undefined : uploadBound({slots, maxBodyBytes: view.routeSet?.limits.bodyBytes ?? 0});
	};

	const reserve = ({server, bytes, validMs, ...id}: UploadRequest): UploadOutcome | undefined => {
		const outcome = reservations.reserve({
			server, id, bytes, validMs, boundBytes: findBound(server), longestMs, nowMs: now(),
		});
		counters.add(`upload-reservation.${nameOf(outcome)}`);
		return outcome;
	};

	const uploads = new FleetUploads({
		self: {id: self.id, process},
		findOwner: shard => shards.findOwner(shard),
		own: {
			reserve, release({server, ...id}) {
				reservations.release({server, id, nowMs: now()});
			},
		},
		client,
		use: new UploadUse({counters, log, now}),
		refusals,
		count(event) {
			counters.add(event);
		},
		now,
	});
	const onMalformed = ({code, message}: CodedError): void => {
		counters.add(`entry-refused.${code}`);
		refusals.line('upload-message-refused', {subject: code, reason: code, detail: message});
	};

	return {
		reserve: (options): ReturnType<FleetUploads['reserve']> => uploads.reserve(options),
		handleReservations: createReservationListener({reserve, onMalformed}),
		handleReleases: createReleaseListener({
			release({server, ...id}) {
				reservations.release({server, id, nowMs: now()});
			}, onMalformed,
		}),
		step() {
			reservations.step(now());
		},
		updateConfiguration() {
			const timeouts = view.routeSet?.routes.filter(({isUpload}) => isUpload).map(({timeoutMs}) => timeoutMs) ?? [];
			longestMs = Math.max(longestMs, ...timeouts);
		},
		listReservedBytes: () => reservations.listBytes(),
		stop() {
			client.close();
		},
	};
}

function nameOf(outcome: UploadOutcome | undefined): string {
	if (!outcome) {
		return 'not-owned';
	}

	return outcome.granted ? 'granted' : 'refused';
}
