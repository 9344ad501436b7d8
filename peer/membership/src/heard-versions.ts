/** Versions of the configuration that other instances say they hold. */
import type {Endpoint, InstanceId} from '@pomelopick/core.types';
import type {ExchangeRequest, ExchangeResponse} from '@pomelopick/peer.protocol';
import type {MemberTable} from './member-table.js';
import type {MembershipOptions} from './membership-options.js';
import {fromHeldMessage} from './wire.js';

/** Options of {@link HeardVersions}. */
export interface HeardVersionsOptions extends Pick<MembershipOptions, 'onPeerVersion' | 'now'> {
	readonly table: MemberTable;
}

/** An answer and how old it can be. */
export interface HeardAnswer {
	readonly endpoint: Endpoint;
	readonly response: ExchangeResponse;
	/** Monotonic time at which the request was sent, in milliseconds. */
	readonly sentAtMs: number;
}

/** Passes on the versions that exchanges tell of. */
export class HeardVersions {
	readonly #options: HeardVersionsOptions;

	constructor(options: HeardVersionsOptions) {
		this.#options = options;
	}

	/** A request may have waited for any time on its way, so that nothing bounds the age of what it says. */
	hearRequest(request: ExchangeRequest): void {
		const {onPeerVersion, table} = this.#options;
		const known = table.describe(request.sender as InstanceId);
		if (known) {
			onPeerVersion({endpoint: known.instance.peers, held: fromHeldMessage(request.configuration), isAgeBounded: false});
		}
	}

	/** The answer was made after the request was sent, so that the whole round trip bounds its age. */
	hearAnswer({endpoint, response, sentAtMs}: HeardAnswer): void {
		const {onPeerVersion, now} = this.#options;
		const held = fromHeldMessage(response.configuration);
		onPeerVersion({endpoint, held: {...held, ageMs: held.ageMs + now() - sentAtMs}, isAgeBounded: true});
	}
}
