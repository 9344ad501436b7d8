/** Chooses the upstream, the instance from which this one gets the store's changes, and requests them from it. */
import type {Either} from 'purify-ts';
import type {CodedError, Endpoint, InstanceId} from '@pomelopick/core.types';
import {UpstreamChoice} from '@pomelopick/steering.upstreams';
import type {InstanceRecord} from './instance-record.js';
import type {UpstreamAnswer} from './relayed-changes.js';
import type {UpstreamRequestOptions} from './upstream-client.js';

/** An instance that forwards changes to others. */
export interface Upstream extends InstanceRecord {
	readonly peers: Endpoint;
}

/** Options of {@link UpstreamLink}. */
export interface UpstreamLinkOptions {
	readonly self: InstanceRecord;
	/** Live instances. */
	readonly instances: () => readonly InstanceRecord[];
	/** Sends one request for changes; never rejects. */
	readonly requestChanges: (options: UpstreamRequestOptions) => Promise<Either<CodedError, UpstreamAnswer>>;
	/** Called when the followed upstream did not provide changes, and when a different one did. */
	readonly onChange: (change: {readonly kind: 'lost' | 'followed'; readonly upstream: InstanceId; readonly detail: string}) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Chooses upstreams and requests changes from them. */
export class UpstreamLink {
	readonly #options: UpstreamLinkOptions;
	readonly #choice: UpstreamChoice;
	#followed: InstanceId | undefined;

	constructor(options: UpstreamLinkOptions) {
		this.#options = options;
		this.#choice = new UpstreamChoice({self: options.self});
	}

	/** Whether this instance has a record of any other instance. */
	hasOtherInstances(): boolean {
		return this.#options.instances().some(({id}) => id !== this.#options.self.id);
	}

	/** Returns the upstream to request changes from; undefined: the store itself. */
	choose(): Upstream | undefined {
		const {instances, now} = this.#options;
		return this.#choice.choose({instances: instances().filter(instance => isUpstream(instance)), nowMs: now()});
	}

	/** Requests changes from an upstream. One that does not provide any is not chosen for a while, unless it just no longer keeps the requested changes. */
	async requestChanges({upstream, ...request}: Omit<UpstreamRequestOptions, 'endpoint'> & {readonly upstream: Upstream}): Promise<UpstreamAnswer> {
		const requested = await this.#options.requestChanges({endpoint: upstream.peers, ...request});
		return requested.caseOf<UpstreamAnswer>({
			Left: ({message}) => {
				this.#recordFailure({upstream, detail: message, failure: 'silent'});
				return {kind: 'unavailable'};
			},
			Right: answer => {
				if (answer.kind === 'unavailable') {
					this.#recordFailure({upstream, detail: 'the store is unavailable to it', failure: 'unavailable'});
				} else if (answer.kind === 'changes') {
					this.#recordFollowed(upstream);
				}

				return answer;
			},
		});
	}

	#recordFailure({upstream: {id}, detail, failure}: {readonly upstream: Upstream; readonly detail: string; readonly failure: 'silent' | 'unavailable'}): void {
		const {onChange, now} = this.#options;
		this.#choice.recordFailure({id, failure, nowMs: now()});
		if (this.#followed === id) {
			this.#followed = undefined;
			onChange({kind: 'lost', upstream: id, detail});
		}
	}

	#recordFollowed({id}: Upstream): void {
		if (this.#followed !== id) {
			this.#followed = id;
			this.#options.onChange({kind: 'followed', upstream: id, detail: 'it forwards the changes of the store'});
		}
	}
}

function isUpstream(instance: InstanceRecord): instance is Upstream {
	return instance.peers !== undefined;
}
