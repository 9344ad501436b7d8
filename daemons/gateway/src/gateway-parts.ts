/** Creates and wires the parts of a gateway that handle requests. */
import type {InstanceRecord} from '@pomelopick/calls.live';
import type {GatewaySettings} from '@pomelopick/config.settings';
import type {DecisionLog, ServedCounters} from '@pomelopick/core.telemetry';
import {createLoadSharing} from './create-load-sharing.js';
import type {LoadSharingParts} from './create-load-sharing.js';
import {createQuotas} from './create-quotas.js';
import type {QuotaParts} from './create-quotas.js';
import {createRateLimits} from './create-rate-limits.js';
import type {RateLimitParts} from './create-rate-limits.js';
import {createRelay} from './create-relay.js';
import type {RelayParts} from './create-relay.js';
import {createUploads, hasUploadRoute} from './create-uploads.js';
import type {UploadParts} from './create-uploads.js';
import {createView} from './create-view.js';
import type {CreateViewOptions, ViewParts} from './create-view.js';
import {OverloadWatch} from './overload-watch.js';

/** What all parts of a gateway use. */
export interface GatewayContext {
	/** The active settings, which may change while the gateway runs. */
	readonly settings: () => GatewaySettings;
	/** Record of this instance. */
	readonly self: InstanceRecord;
	/** Sequence number before the first one that this run of the instance assigns to its records for other instances. */
	readonly firstSequence: number;
	readonly counters: ServedCounters;
	readonly log: DecisionLog;
	/** Monotonic time at which the gateway ends, in milliseconds; undefined: it is not stopping. */
	readonly endsAtMs: () => number | undefined;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
	/** Number from 0 up to 1. */
	readonly random: () => number;
}

/** Options of {@link createGatewayParts}. */
export interface CreateGatewayPartsOptions {
	readonly context: GatewayContext;
	/** Called when another configuration became active, before the parts use it. */
	readonly onRoutes: CreateViewOptions['onRoutes'];
}

/** The parts. */
export interface GatewayParts {
	readonly viewParts: ViewParts;
	readonly rateLimitParts: RateLimitParts;
	readonly quotas: QuotaParts;
	readonly uploads: UploadParts;
	readonly overload: OverloadWatch;
	readonly relay: RelayParts;
	readonly loadSharing: LoadSharingParts;
}

/** Creates the parts. They call each other, but none before its owner starts the view. */
export function createGatewayParts({context, onRoutes}: CreateGatewayPartsOptions): GatewayParts {
	const {settings, self, firstSequence: process, endsAtMs, ...shared} = context;
	const viewParts = createWiredView({context, onRoutes, parts: () => parts});
	const {view, store, feed, sharing, claimAllowance} = viewParts;
	const viewAgeMs = (): number => feed.ageMs;
	const rateLimitParts = createRateLimits({
		...shared, self: self.id, view, store, viewAgeMs, mayBeCold: server => parts.relay.contacts.isLost(server), onLimited({name}) {
			parts.relay.recallUnsent({server: name, detail: 'the server named a rate limit'});
		}, onLongerWarmup(server) {
			parts.relay.recallUnsent({server, detail: 'the server warms up'});
		},
	});
	const quotas = createQuotas({
		...shared, self, process, view, store, hasCaughtUp: () => feed.hasCaughtUp, isLeaving: () => endsAtMs() !== undefined, hasUploads: () => hasUploadRoute(view), onStep() {
			parts.uploads.step();
		}, onSuspension() {
			parts.relay.uploads.recordSuspension();
		},
	});
	const uploads = createUploads({
		...shared, self, process, view, shards: quotas.shards,
	});
	const overload = createOverloadWatch({context, parts: () => parts});
	const relay = createRelay({
		...shared, settings, requestLimit: () => overload.requestLimit, view, sharing, firstSequence: process, rateLimitParts, quotas,
		reserveUpload: uploads.reserve, claimAllowance, confirmation: () => feed.confirmation, endsAtMs,
	});
	const loadSharing = createLoadSharing({
		...shared, self: self.id, region: self.region, view, observations: relay.observations, admissions: relay.admissions,
	});
	const parts: GatewayParts = {
		viewParts, rateLimitParts, quotas, uploads, overload, relay, loadSharing,
	};
	return parts;
}

/** Stops the parts; resolves once they have ended. */
export async function stopParts({viewParts, rateLimitParts, quotas, uploads, relay, loadSharing}: GatewayParts): Promise<void> {
	quotas.stop();
	uploads.stop();
	rateLimitParts.stop();
	loadSharing.stop();
	await Promise.all([viewParts.stop(), relay.stop()]);
}

/** Options of the functions that create a part which calls others. */
interface WiringOptions {
	readonly context: GatewayContext;
	/** All parts, once they have been created. */
	readonly parts: () => GatewayParts;
}

function createWiredView({context, onRoutes, parts}: WiringOptions & Pick<CreateGatewayPartsOptions, 'onRoutes'>): ViewParts {
	const {settings, self, firstSequence, counters, log, now, random} = context;
	return createView({
		store: settings().store,
		self,
		firstSequence,
		retries: () => settings().retries,
		counters,
		log,
		onRoutes(set) {
			onRoutes(set);
			parts().uploads.updateConfiguration();
			parts().quotas.updateConfiguration();
		},
		onSuspicion(record) {
			parts().relay.receiveSuspicion(record);
		},
		onRateLimit(record) {
			parts().rateLimitParts.receiveFromStore(record);
		},
		onQuotaShard(options) {
			parts().quotas.shards.observe(options);
		},
		onRead(options) {
			parts().quotas.shards.recordRead(options);
		},
		onRegistration(confirmedAtMs) {
			parts().quotas.shards.recordRegistration(confirmedAtMs);
		},
		onServerLost(lost) {
			parts().relay.forget(lost);
			parts().rateLimitParts.forget(lost);
		},
		onStoreReturned() {
			parts().rateLimitParts.restoreRecords();
			parts().quotas.shards.recordReturn();
		},
		onInstances() {
			parts().rateLimitParts.updateInstances();
		},
		now,
		random,
	});
}

function createOverloadWatch({context: {settings, self, counters, log}, parts}: WiringOptions): OverloadWatch {
	return new OverloadWatch({
		isEnabled: self.capacity !== undefined,
		maxRequests: settings().limits.requests,
		load() {
			const {inProgress, heldBytes} = parts().relay.handler;
			return {inProgress, heldShare: heldBytes.reservedBytes / heldBytes.maxBytes};
		},
		onChange(isFull) {
			parts().viewParts.updateRecord(isFull ? {...self, isFull} : self);
		},
		counters,
		log,
	});
}
