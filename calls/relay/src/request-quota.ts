/** Takes permits of an organisation's quota for the attempts of one request. */
import type {Organisation, Refusal} from '@pomelopick/core.types';
import type {AttemptResult} from './attempt-result.js';
import type {RelayedRequest} from './relayed-request.js';
import {RequestPermits} from './retry-permit.js';
import type {RetryPermit} from './retry-permit.js';

/** Dependencies of {@link RequestQuota}. */
export interface RequestQuotaParts {
	/** Takes a permit to send a request of an organisation, asking other instances if necessary. A refusal: none is granted; undefined: the organisation has no limit. Never rejects. */
	readonly takeQuota: (organisation: Organisation) => RetryPermit | Refusal | undefined | Promise<RetryPermit | Refusal | undefined>;
}

/** Options of {@link RequestQuota.for}. */
export interface RequestQuotaOptions {
	readonly request: RelayedRequest;
	readonly parts: RequestQuotaParts;
}

/** The permit of one attempt. */
export interface AttemptQuota {
	/** Records how the attempt ended. Its permit is used for the next one if the request certainly did not run. */
	readonly settle: (result: AttemptResult) => void;
}

/** The permits of one request: each attempt that may have run it uses one. */
export class RequestQuota {
	/** Returns the permits of a request; undefined for a request without an organisation, and for one that another instance forwarded, which has taken the permit. */
	static for({request, parts}: RequestQuotaOptions): RequestQuota | undefined {
		const {identity, isForwarded} = request.options;
		return identity?.organisation && isForwarded !== true ? new RequestQuota({organisation: identity.organisation, request, parts}) : undefined;
	}

	readonly #organisation: Organisation;
	readonly #request: RelayedRequest;
	readonly #parts: RequestQuotaParts;
	readonly #permits = new RequestPermits();

	private constructor({organisation, request, parts}: RequestQuotaOptions & {readonly organisation: Organisation}) {
		this.#organisation = organisation;
		this.#request = request;
		this.#parts = parts;
	}

	/** Takes a permit for the next attempt unless an unused one is left; returns the refusal of the request if none is granted. */
	async ensure(): Promise<Refusal | undefined> {
		if (this.#permits.hasUnused) {
			return undefined;
		}

		const taking = this.#parts.takeQuota(this.#organisation);
		const taken = taking instanceof Promise ? await taking : taking;
		if (taken && 'reason' in taken) {
			// A caller whose request may have run is not told when to send it again.
			return this.#request.mayHaveRun ? {reason: taken.reason, execution: 'unknown', detail: taken.detail} : taken;
		}

		if (taken) {
			this.#permits.add(taken);
		}

		return undefined;
	}

	/** Uses the permit for an attempt; undefined: the organisation has no limit. */
	use(): AttemptQuota | undefined {
		const permit = this.#permits.use();
		return permit && {
			settle: result => {
				this.#permits.settle({permit, wasSent: result.kind === 'answer' || result.mayHaveRun});
			},
		};
	}

	/** Returns unused permits: those of now, and later those of attempts that have not ended yet. */
	close(): void {
		this.#permits.close();
	}
}
