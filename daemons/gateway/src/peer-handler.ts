/** Handles the requests of other instances. */
import {
	broadcastPath, createBroadcastListener, createChangeListener, readSuspicion,
} from '@pomelopick/calls.live';
import {LOADS_PATH} from '@pomelopick/calls.loads';
import {QUOTA_PATH} from '@pomelopick/calls.quotas';
import {PERMITS_PATH} from '@pomelopick/calls.rate-limits';
import {FORWARDED_PATH} from '@pomelopick/calls.relay';
import {RELEASES_PATH, RESERVATIONS_PATH} from '@pomelopick/calls.uploads';
import type {DecisionLog} from '@pomelopick/core.telemetry';
import type {LoadSharingParts} from './create-load-sharing.js';
import type {QuotaParts} from './create-quotas.js';
import type {RateLimitParts} from './create-rate-limits.js';
import type {RelayParts} from './create-relay.js';
import type {UploadParts} from './create-uploads.js';
import type {ViewParts} from './create-view.js';
import type {HandleRequest} from './http-listener.js';

/** Options of {@link createPeerHandler}: the parts that other instances address. */
export interface PeerHandlerOptions {
	readonly relay: Pick<RelayParts, 'handler'>;
	readonly viewParts: Pick<ViewParts, 'changeRelay' | 'suspicionBroadcast'>;
	readonly rateLimitParts: Pick<RateLimitParts, 'handleRecords' | 'handleWarmups' | 'handlePermits'>;
	readonly loadSharing: Pick<LoadSharingParts, 'handleReports'>;
	readonly quotas: Pick<QuotaParts, 'handleAsks'>;
	readonly uploads: Pick<UploadParts, 'handleReservations' | 'handleReleases'>;
	readonly log: DecisionLog;
}

/** Creates the handler of all paths of the listener for other instances. */
export function createPeerHandler({relay, viewParts, rateLimitParts, loadSharing, quotas, uploads, log}: PeerHandlerOptions): HandleRequest {
	const handleChanges = createChangeListener({relay: viewParts.changeRelay});
	const handleSuspicions = createBroadcastListener({
		subject: 'suspicions', readRecord: readSuspicion, receive: async message => viewParts.suspicionBroadcast.receive(message), onMalformed({code, message}) {
			log.line('suspicion-refused', {reason: code, detail: message});
		},
	});
	const handlers = new Map<string, HandleRequest>([
		[broadcastPath('suspicions'), handleSuspicions],
		[broadcastPath('rate-limits'), rateLimitParts.handleRecords],
		[broadcastPath('server-warmups'), rateLimitParts.handleWarmups],
		[PERMITS_PATH, rateLimitParts.handlePermits],
		[LOADS_PATH, loadSharing.handleReports],
		[QUOTA_PATH, quotas.handleAsks],
		[RESERVATIONS_PATH, uploads.handleReservations],
		[RELEASES_PATH, uploads.handleReleases],
	]);
	return async (request, response) => {
		const {url = ''} = request;
		if (url.startsWith(`${FORWARDED_PATH}/`)) {
			await relay.handler.handleForwarded({request, response, path: url.slice(FORWARDED_PATH.length)});
			return;
		}

		const handle: HandleRequest = handlers.get(url) ?? handleChanges;
		await handle(request, response);
	};
}
