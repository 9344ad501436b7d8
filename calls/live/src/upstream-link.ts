/** The way to the instances from which this one may take the store's changes. */
import type {Either} from 'purify-ts';
import type {CodedError, Endpoint, InstanceId} from '@pomelopick/core.types';
import {UpstreamChoice} from '@pomelopick/steering.upstreams';
import type {InstanceRecord} from './instance-record.js';
import type {UpstreamAnswer} from './relayed-changes.js';
import type {UpstreamRequestOptions} from './upstream-client.js';

/** An instance that passes changes on. */
export interface Upstream extends InstanceRecord {
	readonly peers: Endpoint;
}

/** Options of {@link UpstreamLink}. */
export interface UpstreamLinkOptions {
	readonly self: InstanceRecord;
	/** Instances that are there. */
	readonly instances: () => readonly InstanceRecord[];
	/** Asks one question; never rejects. */
	readonly askEndpoint: (options: UpstreamRequestOptions) => Promise<Either<CodedError, UpstreamAnswer>>;
	/** Told when an upstream gave no changes, and when another one than before did. */
	readonly onChange: (change: {readonly kind: 'lost' | 'followed'; readonly upstream: InstanceId; readonly detail: string}) => void;
	/** Monotonic time, in milliseconds. */
	readonly now: () => number;
}

/** Chooses and asks upstreams. */
export class UpstreamLink {
	readonly #options: UpstreamLinkOptions;
	readonly #choice: UpstreamChoice;
	#followed: InstanceId | undefined;

	constructor(options: UpstreamLinkOptions) {
		this.#options = options;
		this.#choice = new UpstreamChoice({self: options.self});
	}

	/** Whether any other instance is known. */
	hasOtherInstances(): boolean {
		return this.#options.instances().some(({id}) => id !== this.#options.self.id);
	}

	/** The upstream to ask; undefined: the store itself. */
	choose(): Upstream | undefined {
		const {instances, now} = this.#options;
		return this.#choice.choose({instances: instances().filter(instance => isUpstream(instance)), nowMs: now()});
	}

	/** Asks an upstream; one that gives no changes is passed over for a while, unless it only forgot them. */
	async requestChanges({upstream, ...question}: Omit<UpstreamRequestOptions, 'endpoint'> & {readonly upstream: Upstream}): Promise<UpstreamAnswer> {
		const asked = await this.#options.askEndpoint({endpoint: upstream.peers, ...question});
		return asked.caseOf<UpstreamAnswer>({
			Left: ({message}) => {
				this.#recordFailure({upstream, detail: message, failure: 'silent'});
				return {kind: 'unavailable'};
			},
			Right: answer => {
				if (answer.kind === 'unavailable') {
					this.#recordFailure({upstream, detail: 'it has no word of the store', failure: 'unavailable'});
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
			this.#options.onChange({kind: 'followed', upstream: id, detail: 'it passes the changes of the store on'});
		}
	}
}

function isUpstream(instance: InstanceRecord): instance is Upstream {
	return instance.peers !== undefined;
}
