/** Builds and sends the messages of exchanges between two instances, and counts them. */
import {create} from '@bufbuild/protobuf';
import type {Either} from 'purify-ts';
import type {Endpoint, InstanceId} from '@pomelopick/core.types';
import {ExchangeRequestSchema, ExchangeResponseSchema, MembershipService} from '@pomelopick/peer.protocol';
import type {ExchangeResponse} from '@pomelopick/peer.protocol';
import type {PeerError} from '@pomelopick/peer.transport';
import type {MemberTable} from './member-table.js';
import type {MembershipUpdates} from './member.js';
import type {MembershipOptions, MembershipStatistics} from './membership-options.js';
import {toHeldMessage, toNewsMessage} from './wire.js';

const HEARTBEAT_TIMEOUT_MS = 1000;

/** Options of {@link ExchangeCalls}. */
export interface ExchangeCallsOptions extends Pick<MembershipOptions, 'clients' | 'heldVersion'> {
	readonly table: MemberTable;
	/** Id of this instance. */
	readonly sender: () => InstanceId;
}

/** Options of {@link ExchangeCalls.send}. */
export interface SendExchangeOptions {
	readonly endpoint: Endpoint;
	readonly updates: MembershipUpdates;
	/** Requests the complete state of the other instance. */
	readonly wantsEverything: boolean;
}

/** Sends exchange requests and creates exchange responses. */
export class ExchangeCalls {
	readonly #options: ExchangeCallsOptions;
	readonly #statistics = {exchanges: 0, updatesSent: 0, everythingSent: 0};

	constructor(options: ExchangeCallsOptions) {
		this.#options = options;
	}

	/** Counters of the exchanges. */
	get statistics(): MembershipStatistics {
		return {...this.#statistics};
	}

	/** Sends an exchange request and waits for the response. */
	async send({endpoint, updates, wantsEverything}: SendExchangeOptions): Promise<Either<PeerError, ExchangeResponse>> {
		const {clients, heldVersion, table, sender} = this.#options;
		this.#statistics.exchanges += 1;
		this.#statistics.everythingSent += wantsEverything ? 1 : 0;
		this.#countUpdates(updates);
		const request = create(ExchangeRequestSchema, {
			sender: sender(), news: toNewsMessage(updates), digest: table.digest, configuration: toHeldMessage(heldVersion()), wantsEverything,
		});
		return clients.call({
			endpoint, service: MembershipService, timeoutMs: HEARTBEAT_TIMEOUT_MS, invoke: async (client, options) => client.exchange(request, options),
		}).run();
	}

	/** Creates the response to an exchange request. */
	createResponse(updates: MembershipUpdates): ExchangeResponse {
		const {heldVersion, table} = this.#options;
		this.#countUpdates(updates);
		return create(ExchangeResponseSchema, {news: toNewsMessage(updates), digest: table.digest, configuration: toHeldMessage(heldVersion())});
	}

	#countUpdates({records, observations}: MembershipUpdates): void {
		this.#statistics.updatesSent += records.length + observations.length;
	}
}
