/** Reports the configuration versions that other instances state in exchanges. */
import type {Endpoint, InstanceId} from '@pomelopick/core.types';
import type {ExchangeRequest, ExchangeResponse} from '@pomelopick/peer.protocol';
import type {MemberTable} from './member-table.js';
import type {MembershipOptions} from './membership-options.js';
import {fromHeldMessage} from './wire.js';

/** Options of {@link ReceivedVersions}. */
export interface ReceivedVersionsOptions extends Pick<MembershipOptions, 'onPeerVersion' | 'now'> {
	readonly table: MemberTable;
}

/** An exchange response, with the send time of its request, which bounds its age. */
export interface ReceivedResponse {
	readonly endpoint: Endpoint;
	readonly response: ExchangeResponse;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly sentAtMs: number;
}

/** Passes the versions in requests and responses on to the listener. */
export class ReceivedVersions {
	readonly #options: ReceivedVersionsOptions;

	constructor(options: ReceivedVersionsOptions) {
		this.#options = options;
	}

	/** Reports the version in a request. The request may have been delayed for any time, so the age in it has no upper bound. */
	receiveRequest(request: ExchangeRequest): void {
		const {onPeerVersion, table} = this.#options;
		const known = table.describe(request.sender as InstanceId);
		if (known) {
			onPeerVersion({endpoint: known.instance.peers, held: fromHeldMessage(request.configuration), isAgeBounded: false});
		}
	}

	/** Reports the version in a response. It was created after the request was sent, so the round trip time, added to the age, bounds it. */
	receiveResponse({endpoint, response, sentAtMs}: ReceivedResponse): void {
		const {onPeerVersion, now} = this.#options;
		const held = fromHeldMessage(response.configuration);
		onPeerVersion({endpoint, held: {...held, ageMs: held.ageMs + now() - sentAtMs}, isAgeBounded: true});
	}
}
